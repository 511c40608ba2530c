/** Adds jitter to Retry-After, so that refused callers do not retry simultaneously. */

/**
 * Returns a delay between `seconds` and twice that; `random` is from 0 (inclusive) to 1 (exclusive).
 * Load pattern: many callers that are refused at the same moment would otherwise retry at the same moment.
 */
export function addRetryAfterJitter(seconds: number, random: number): number {
	return seconds * (1 + random);
}
