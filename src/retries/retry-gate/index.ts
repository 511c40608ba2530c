/** Interface through which calls pay for the requests that they send beyond their first one. */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Retries of one service that this instance may send. */
export type RetryGate = {
	/** Records that the first request of a call may have reached a target. */
	recordCall(now: MonotonicMs): void;
	/** Withdraws a recorded call whose first request was not sent after all. */
	withdrawCall(now: MonotonicMs): void;
	/** Takes one retry if one is available; returns whether it did. */
	take(now: MonotonicMs): boolean;
	/** Returns a retry that was taken and not sent. */
	refund(now: MonotonicMs): void;
	/** Returns the number of available retries, including fractions. */
	readLevel(now: MonotonicMs): number;
};
