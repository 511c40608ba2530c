/** Waits for a change of the fleet that may make a target usable. */

import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import {addRetryAfterJitter, buildShortRetryAfter} from '../add-retry-after-jitter/index.js';
import type {SessionOptions} from '../session-types/index.js';

/** Longest wait for a usable target, as a fraction of the latency goal. */
const targetWaitFraction = 0.6;
/** Interval at which a waiting call checks again for a target with free capacity; shorter than the interval of load reports. */
const targetRecheckMs = 60;
const msPerSecond = 1000;

/** Calculates until when a call waits for a usable target. */
export function calculateWaitEnd({route, arrivedAt}: Pick<SessionOptions, 'route' | 'arrivedAt'>, deadline: MonotonicMs): MonotonicMs {
	return Math.min(arrivedAt + (route.latencyGoalMs * targetWaitFraction), deadline) as MonotonicMs;
}

/**
 * Creates the error of a call that no target can take in time; `draw` is a random number in [0, 1). `permitWaitMs` is the
 * estimated wait if all targets are at the limits that they state.
 */
export function createNoTargetError(mayHaveRun: boolean, draw: number, permitWaitMs?: number): RouterError {
	if (mayHaveRun) {
		return createRouterError('outcomeUnknown', 'no other target is usable');
	}

	return permitWaitMs === undefined
		? createRouterError('noTarget', undefined, buildShortRetryAfter(draw))
		: createRouterError('targetsLimited', undefined, {retryAfterSeconds: addRetryAfterJitter(permitWaitMs / msPerSecond, draw)});
}

/** Handles one wait at a time; a new wait cancels the previous one. */
export class TargetWaiter {
	private cancel: (() => void) | undefined;

	constructor(private readonly fleet: TargetFleet) {}

	/** Calls `resume` once: at the next change of the fleet, at the next check for free capacity, or after `timeoutMs`. */
	wait(timeoutMs: number, resume: () => void): void {
		this.stop();
		const finish = () => {
			this.stop();
			resume();
		};

		const unsubscribe = this.fleet.subscribe(finish);
		const timer = setTimeout(finish, Math.min(targetRecheckMs, timeoutMs));
		this.cancel = () => {
			unsubscribe();
			clearTimeout(timer);
		};
	}

	stop(): void {
		this.cancel?.();
		this.cancel = undefined;
	}
}
