/** Seeds that once broke a promise, each with its cause. `npm run soak -- --regressions` runs them again. */

/** A seed with what it found. */
export type RegressionSeed = {readonly seed: number; readonly faultsMs: number; readonly cause: string};

/** All of them, the latest last. */
export const regressionSeeds: readonly RegressionSeed[] = [
	{seed: 114, faultsMs: 15_000, cause: 'the error answer of a second target was joined to a broken stream, which then looked complete'},
	{seed: 140, faultsMs: 15_000, cause: 'the same as 114'},
	{seed: 121, faultsMs: 15_000, cause: 'a hang-up arrived before the process listened for it, and ended it'},
];
