/** Seeded random numbers for simulations. */

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns numbers from 0 (included) to 1 (excluded). */
export type Random = () => number;

/** Creates a generator; the same seed yields the same numbers. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}
