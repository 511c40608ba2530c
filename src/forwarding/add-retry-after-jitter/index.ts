/** Spreads the return of refused callers. */

/**
 * Seconds until a caller may return, from `seconds` to twice that; `draw` is from 0 up to, not including, 1.
 * Load pattern: many callers are refused at one moment and would return at one moment.
 */
export function addRetryAfterJitter(seconds: number, draw: number): number {
	return seconds * (1 + draw);
}
