/** Rounding allowed in sums of tokens, relative to the sum. */
const relativeRounding = 1e-9;
const absoluteRounding = 1e-6;

/** Whether `a` is at most `b`, but for rounding. */
export function isAtMost(a: number, b: number): boolean {
	return a <= b + absoluteRounding + (Math.abs(b) * relativeRounding);
}
