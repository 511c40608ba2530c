/** Interface through which calls report whether targets can be reached from this instance. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';

/** Collects what connections and answers show. */
export type ReachabilityMonitor = {
	/** Whether failures of targets tell of the targets, and not of the paths to them. */
	readonly isWitness: boolean;
	/** Records that a new connection was made. */
	recordConnected(): void;
	/** Records that no connection could be made. */
	recordConnectFailed(target: FleetTarget): void;
	/** Records the head of an answer. */
	recordAnswered(): void;
	/** Records that a request was sent and got no answer: its connection broke, or is silent. */
	recordUnanswered(target: FleetTarget, now: MonotonicMs): void;
};

/** Monitor that takes all targets for reachable. */
export const idleReachabilityMonitor: ReachabilityMonitor = {
	isWitness: true,
	recordConnected() {
		// Nothing is recorded.
	},
	recordConnectFailed() {
		// Nothing is recorded.
	},
	recordAnswered() {
		// Nothing is recorded.
	},
	recordUnanswered() {
		// Nothing is recorded.
	},
};
