/** Pauses between attempts. */

const basePauseMs = 20;
const longestPauseMs = 1000;

/**
 * Returns the pause before retry number `retry` (from 1), in milliseconds: exponential with full jitter,
 * so that callers that failed together do not come back together. `random` is in [0, 1).
 */
export function calculateBackoff(retry: number, random: number): number {
	const highest = Math.min(longestPauseMs, basePauseMs * (2 ** (retry - 1)));
	return random * highest;
}
