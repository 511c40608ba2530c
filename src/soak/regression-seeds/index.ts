/** Seeds of past soak failures with their causes. `npm run soak -- --regressions` runs them again. */

/** A seed and the cause of its failure. */
export type RegressionSeed = {readonly seed: number; readonly faultsMs: number; readonly cause: string};

/** All regression seeds, most recent last. */
export const regressionSeeds: readonly RegressionSeed[] = [
	{seed: 114, faultsMs: 15_000, cause: 'the error answer of a second target was appended to an interrupted stream, which then looked complete'},
	{seed: 140, faultsMs: 15_000, cause: 'the same as 114'},
	{seed: 121, faultsMs: 15_000, cause: 'SIGHUP arrived before the process had installed its handler, and terminated it'},
];
