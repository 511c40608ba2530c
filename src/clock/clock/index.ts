/**
 * Access to the current time. Decision functions take the time as an argument; tasks read it from a `Clock`, so that
 * tests can control it.
 */

import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import type {MonotonicMs, WallMs} from '../../identity/ids/index.js';

/** Source of the current time and of delays. */
export type Clock = {
	/** Monotonic time; also advances while the process is stopped. */
	readMonotonic(): MonotonicMs;
	/** Wall-clock time; use it only for display and in records. */
	readWall(): WallMs;
	/** Resolves after `ms` milliseconds, or at once when `signal` aborts. */
	sleep(ms: number, signal?: AbortSignal): Promise<void>;
};

/** Clock that reads the system time. */
export class SystemClock implements Clock {
	readMonotonic(): MonotonicMs {
		return performance.now() as MonotonicMs;
	}

	readWall(): WallMs {
		return Date.now() as WallMs;
	}

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		try {
			await delay(ms, undefined, {signal});
		} catch (error) {
			if (!signal?.aborted) {
				throw error;
			}
		}
	}
}
