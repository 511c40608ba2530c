/**
 * Decides whether an attempt is withdrawn because of its weights. A call that was sent in time can wait in the queue of
 * its engine until calls may no longer begin on these weights.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import type {Attempt} from '../session-types/index.js';

/** Whether the attempt has not begun and must not begin on the weights that it was sent to. */
export function mustWithdrawAttempt({head, weightsVersion}: Attempt, model: string | undefined, context: Pick<ForwardingContext, 'findVersionHistory'>, now: MonotonicMs): boolean {
	if (head !== undefined || weightsVersion === undefined || model === undefined) {
		return false;
	}

	return context.findVersionHistory(model)?.mustNotBegin(weightsVersion, now) ?? false;
}
