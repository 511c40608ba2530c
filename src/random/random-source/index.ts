/** Seeded pseudo-random numbers, so that tests can reproduce a run. */

import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Number of distinct values that `drawFraction` returns. */
const fractionResolution = 0x40_00_00_00;

/** Pseudo-random number generator with the operations that the router needs. */
export class RandomSource {
	private readonly generator;

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
	}

	/** Picks an integer from 0 to `limit - 1`. */
	pickIndex(limit: number): number {
		return uniformInt(this.generator, 0, limit - 1);
	}

	/** Draws a number from 0 (inclusive) to 1 (exclusive). */
	drawFraction(): number {
		return this.pickIndex(fractionResolution) / fractionResolution;
	}

	/** Picks up to `count` distinct items, in random order. */
	pickSome<Item>(items: readonly Item[], count: number): Item[] {
		const remaining = [...items];
		const picked: Item[] = [];
		while (picked.length < count && remaining.length > 0) {
			const index = this.pickIndex(remaining.length);
			picked.push(remaining[index]!);
			remaining[index] = remaining.at(-1)!;
			remaining.pop();
		}

		return picked;
	}

	/** Applies jitter: returns 0.8 to 1.2 times `ms`, so that instances started at the same time do not stay synchronised. */
	applyJitter(ms: number): number {
		return ms * (80 + this.pickIndex(41)) / 100;
	}
}
