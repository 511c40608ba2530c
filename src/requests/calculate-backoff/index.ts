/** Delays between attempts. */

const baseDelayMs = 20;
const maximumDelayMs = 1000;

/**
 * Returns the delay before a retry, in milliseconds: exponential backoff with full jitter, so that calls that failed
 * at the same time are not retried at the same time. `retryNumber` starts at 1; `random` is in [0, 1).
 */
export function calculateBackoff(retryNumber: number, random: number): number {
	const upperBoundMs = Math.min(maximumDelayMs, baseDelayMs * (2 ** (retryNumber - 1)));
	return random * upperBoundMs;
}
