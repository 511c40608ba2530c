/** Tolerances for floating-point rounding in sums of tokens. */
const relativeTolerance = 1e-9;
const absoluteToleranceTokens = 1e-6;

/** Whether `a` is at most `b`, within the rounding tolerance. */
export function isAtMost(a: number, b: number): boolean {
	return a <= b + absoluteToleranceTokens + (Math.abs(b) * relativeTolerance);
}
