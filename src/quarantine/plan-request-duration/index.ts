/**
 * Plans how long a request is kept away from targets. The first quarantine is short, so that a sound request that was only near
 * the crashes of another one is soon tried again. After three failed trials it is so long that no target sees a fourth.
 */

/** Duration of the first quarantine, until the first trial, in milliseconds. */
export const firstDurationMs = 10_000;
/** The same after one failed trial, and after each further one. */
const secondDurationMs = 600_000;
const longestDurationMs = 2_592_000_000;

/** Plans the duration in milliseconds from that of the previous quarantine, which is undefined for the first. */
export function planRequestDuration(previousMs: number | undefined): number {
	if (previousMs === undefined) {
		return firstDurationMs;
	}

	return previousMs < secondDurationMs ? secondDurationMs : longestDurationMs;
}
