/**
 * Plans how long a request is kept away from targets. The first quarantine is short, so that a sound request that was only near
 * the crashes of another one is soon tried again. After three failed trials it is so long that no target sees a fourth.
 */

/** Duration of the first quarantine, until the first trial, in milliseconds. */
export const firstDurationMs = 10_000;
/** The same if all crashes were at one instant, which often has another reason. Targets restart about as long. */
export const ambiguousDurationMs = 3000;
/** Crashes in sequence from which the evidence is not ambiguous. */
const clearSequence = 2;
/** The same after one failed trial, and after each further one. */
const secondDurationMs = 600_000;
const longestDurationMs = 2_592_000_000;

/**
 * Plans the duration in milliseconds from that of the previous quarantine, which is undefined for the first, and from the
 * number of crashes in sequence.
 */
export function planRequestDuration(previousMs: number | undefined, sequentialCrashes: number): number {
	if (previousMs === undefined) {
		return sequentialCrashes >= clearSequence ? firstDurationMs : ambiguousDurationMs;
	}

	return previousMs < secondDurationMs ? secondDurationMs : longestDurationMs;
}
