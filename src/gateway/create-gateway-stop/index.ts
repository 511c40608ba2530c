/** The planned stop of a gateway: callers are sent elsewhere first, then the calls in progress end. */

import type {Clock} from '../../clock/clock/index.js';
import {PlannedStop} from '../../daemon/planned-stop/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Membership} from '../../membership/membership/index.js';
import type {RolloutController} from '../../rollout/rollout-controller/index.js';
import type {CallListener} from '../call-listener/index.js';

/** Multiple of the validity for which some callers keep an address answer. */
const addressKeepFactor = 3;
const stopMarginMs = 300;
/** Time before the end of the grace period at which calls in progress are ended, in milliseconds. */
const cutMarginMs = 600;
const drainCheckMs = 50;
const msPerSecond = 1000;

/** The parts that stop in order. */
export type GatewayStopOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	/** Time from the request to stop until the process is killed, in milliseconds. */
	readonly graceMs: number;
	readonly addressValiditySeconds: number;
	readonly membership: Pick<Membership, 'markLeaving' | 'stop'>;
	readonly listener: Pick<CallListener, 'isLeaving' | 'callsInProgress' | 'close' | 'cutAll'>;
	readonly rollout: Pick<RolloutController, 'stop'>;
	/** Ends all tasks of the gateway. */
	readonly controller: AbortController;
};

/** Prepares the stop; its `run` carries it out. */
export function createGatewayStop(options: GatewayStopOptions): PlannedStop {
	const {clock, logger, graceMs, addressValiditySeconds, membership, listener, rollout, controller} = options;
	return new PlannedStop({
		clock, logger,
		addressValidityMs: addressValiditySeconds * addressKeepFactor * msPerSecond,
		marginMs: stopMarginMs,
		maximumMs: graceMs - cutMarginMs,
		leave() {
			membership.markLeaving();
			listener.isLeaving = true;
			rollout.stop().catch((error: unknown) => {
				logger.warn('rollout lease not released', {reason: (error as Error).message});
			});
		},
		async drain() {
			listener.close();
			while (listener.callsInProgress > 0) {
				await clock.sleep(drainCheckMs);
			}
		},
		cut() {
			listener.cutAll();
		},
		async release() {
			membership.stop();
			controller.abort();
		},
	});
}
