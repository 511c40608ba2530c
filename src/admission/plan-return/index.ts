/**
 * Plans when a refused caller returns.
 *
 * Load pattern: thousands of callers are refused during a burst. If they returned together, they would be a second one. So each
 * gets a time of its own, after the queue is expected to be empty if that is known.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Part of the remaining time for which callers honour a `Retry-After`. */
const honouredFraction = 1 / 3;
/** Width of the interval over which returns are spread, as a fraction of the longest delay. */
const spreadFraction = 0.5;
/** Shortest delay, in milliseconds. */
const minimumDelayMs = 300;
const msPerSecond = 1000;

/** What the plan depends on. */
export type ReturnQuery = {
	readonly deadline: MonotonicMs;
	/** Time until the queue has been worked off, in milliseconds; undefined unless it shrinks. */
	readonly drainMs: number | undefined;
	/** Random number in [0, 1). */
	readonly draw: number;
};

/** Returns the delay in seconds. */
export function planReturn({deadline, drainMs, draw}: ReturnQuery, now: MonotonicMs): number {
	const longestMs = Math.max((deadline - now) * honouredFraction, 2 * minimumDelayMs);
	const spreadMs = longestMs * spreadFraction;
	const earliestMs = Math.min(Math.max(drainMs ?? Infinity, minimumDelayMs), longestMs - spreadMs);
	return (earliestMs + (spreadMs * draw)) / msPerSecond;
}
