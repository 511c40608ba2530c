/** Planned stop of a gateway: redirects callers to other instances, then drains the calls in progress. */

import type {Clock} from '../../clock/clock/index.js';
import {PlannedStop} from '../../daemon/planned-stop/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Membership} from '../../membership/membership/index.js';
import type {RolloutController} from '../../rollout/rollout-controller/index.js';
import type {CallListener} from '../call-listener/index.js';

/** Some callers cache an address answer for this multiple of its validity. */
const addressCacheFactor = 3;
/** Additional time for which calls are accepted after cached addresses have expired, in milliseconds. */
const addressExpiryMarginMs = 300;
/** Time before the end of the grace period at which the remaining calls are aborted, in milliseconds. */
const abortMarginMs = 600;
/** Longest wait until the last answers are written before the process ends, in milliseconds. */
const flushTimeoutMs = 300;
const drainCheckIntervalMs = 50;
const msPerSecond = 1000;

/** Components that the stop shuts down, and its timing. */
export type GatewayStopOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	/** Time between SIGTERM and SIGKILL, in milliseconds. */
	readonly graceMs: number;
	readonly addressValiditySeconds: number;
	readonly membership: Pick<Membership, 'markLeaving' | 'stop'>;
	readonly listener: Pick<CallListener, 'leave' | 'callsInProgress' | 'refuseCalls' | 'close' | 'abortCalls' | 'flushAnswers'>;
	readonly rollout: Pick<RolloutController, 'stop'>;
	/** Its signal ends all tasks of the gateway. */
	readonly controller: AbortController;
};

/** Creates the planned stop; call its `run` to carry it out. */
export function createGatewayStop(options: GatewayStopOptions): PlannedStop {
	const {clock, logger, graceMs, addressValiditySeconds, membership, listener, rollout, controller} = options;
	const addressValidityMs = addressValiditySeconds * addressCacheFactor * msPerSecond;
	const maximumMs = graceMs - abortMarginMs;
	return new PlannedStop({
		clock, logger, addressValidityMs, maximumMs,
		marginMs: addressExpiryMarginMs,
		leave() {
			membership.markLeaving();
			const now = clock.readMonotonic();
			listener.leave({acceptsAllUntil: now + addressValidityMs as MonotonicMs, endsAt: now + maximumMs as MonotonicMs});
			rollout.stop().catch((error: unknown) => {
				logger.warn('rollout lease not released', {reason: (error as Error).message});
			});
		},
		async drain() {
			await listener.close();
			while (listener.callsInProgress > 0) {
				await clock.sleep(drainCheckIntervalMs);
			}

			// Callers may go on to use connections that are still open, and a call that is taken now would end with the process.
			listener.refuseCalls();
		},
		abortRequests() {
			listener.refuseCalls();
			listener.abortCalls();
		},
		async release() {
			await listener.flushAnswers(flushTimeoutMs);
			membership.stop();
			controller.abort();
		},
	});
}
