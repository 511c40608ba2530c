/** Waits for a change of the fleet that may make a target usable. */

import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import {buildShortRetryAfter} from '../add-retry-after-jitter/index.js';
import type {SessionOptions} from '../session-types/index.js';

/** Longest wait for a usable target, as a fraction of the latency goal. */
const targetWaitFraction = 0.6;
/** Interval at which a waiting call checks again for a target with free capacity; shorter than the interval of load reports. */
const targetRecheckMs = 60;

/** Calculates until when a call waits for a usable target. */
export function calculateWaitEnd({route, arrivedAt}: Pick<SessionOptions, 'route' | 'arrivedAt'>, deadline: MonotonicMs): MonotonicMs {
	return Math.min(arrivedAt + (route.latencyGoalMs * targetWaitFraction), deadline) as MonotonicMs;
}

/** Creates the error of a call that has waited for long enough; `draw` is a random number in [0, 1). */
export function createNoTargetError(mayHaveRun: boolean, draw: number): RouterError {
	return mayHaveRun
		? createRouterError('outcomeUnknown', 'no other target is usable')
		: createRouterError('noTarget', undefined, buildShortRetryAfter(draw));
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
