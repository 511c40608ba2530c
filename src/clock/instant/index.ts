/**
 * Points in time that are read on both clocks, for elapsed times that must not be underestimated.
 *
 * A machine that is suspended may not count the time on its monotonic clock, and the wall clock may be set back. The
 * larger of the two differences is wrong only after both.
 */

import type {MonotonicMs, WallMs} from '../../identity/ids/index.js';
import type {Clock} from '../clock/index.js';

/** A point in time on both clocks of this process. */
export type Instant = {readonly monotonic: MonotonicMs; readonly wall: WallMs};

/** Reads the present time on both clocks. */
export function readInstant(clock: Clock): Instant {
	return {monotonic: clock.readMonotonic(), wall: clock.readWall()};
}

/** Measures the time from `start` to `now` in milliseconds, on the clock on which more has passed. */
export function measureElapsedMs(start: Instant, now: Instant): number {
	return Math.max(now.monotonic - start.monotonic, now.wall - start.wall);
}

/** Returns the instant `ms` milliseconds before `instant`. */
export function shiftBack({monotonic, wall}: Instant, ms: number): Instant {
	return {monotonic: monotonic - ms as MonotonicMs, wall: wall - ms as WallMs};
}
