/** Admits a call: finds the software that began a stream its caller takes up, and charges the quota of its organisation. */

import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import {addRetryAfterJitter, buildLongRetryAfter} from '../add-retry-after-jitter/index.js';
import type {CallCharge} from '../call-charge/index.js';
import type {StreamOrigin} from '../stream-origin/index.js';

/** Time after which callers without budget may return, in seconds. */
const budgetRetrySeconds = 1;

/** What a call is admitted by. */
export type Admission = {
	readonly origin: Pick<StreamOrigin, 'bindTakenUp'>;
	readonly charge: Pick<CallCharge, 'charge'>;
	/** Draws a random number in [0, 1). */
	readonly draw: () => number;
};

/** Resolves to the error with which the call ends, or to undefined if it is admitted. */
export async function admitCall({origin, charge, draw}: Admission): Promise<RouterError | undefined> {
	if (!await origin.bindTakenUp()) {
		return createRouterError('softwareUnknown', undefined, buildLongRetryAfter(draw()));
	}

	return await charge.charge()
		? undefined
		: createRouterError('budgetExceeded', undefined, {retryAfterSeconds: addRetryAfterJitter(budgetRetrySeconds, draw())});
}
