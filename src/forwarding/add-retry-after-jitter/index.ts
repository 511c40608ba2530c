/** Adds jitter to Retry-After, so that refused callers do not retry simultaneously. */

/**
 * Returns a delay between `seconds` and twice that; `random` is from 0 (inclusive) to 1 (exclusive).
 * Load pattern: many callers that are refused at the same moment would otherwise retry at the same moment.
 */
export function addRetryAfterJitter(seconds: number, random: number): number {
	return seconds * (1 + random);
}

/** Shortest Retry-After of a call that no target could take; jitter is added. */
const minimumRetryAfterSeconds = 0.3;

/** Builds the Retry-After of a call that no target could take; `draw` is a random number in [0, 1). */
export function buildShortRetryAfter(draw: number): {readonly retryAfterSeconds: number} {
	return {retryAfterSeconds: addRetryAfterJitter(minimumRetryAfterSeconds, draw)};
}

/** Retry-After of a call that fails until another instance or the object API is back; jitter is added. */
const longRetryAfterSeconds = 2;

/** Builds the Retry-After of a call that can't succeed at once; `draw` is a random number in [0, 1). */
export function buildLongRetryAfter(draw: number): {readonly retryAfterSeconds: number} {
	return {retryAfterSeconds: addRetryAfterJitter(longRetryAfterSeconds, draw)};
}
