/** Seeded random choices, so that a test can repeat a run. */

import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Pseudo-random generator with the choices that the router needs. */
export class RandomSource {
	private readonly generator;

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
	}

	/** Picks an integer from 0 to `limit - 1`. */
	pickIndex(limit: number): number {
		return uniformInt(this.generator, 0, limit - 1);
	}

	/** Picks `count` distinct items, fewer when there are not enough, in random order. */
	pickSome<Item>(items: readonly Item[], count: number): Item[] {
		const rest = [...items];
		const picked: Item[] = [];
		while (picked.length < count && rest.length > 0) {
			const index = this.pickIndex(rest.length);
			picked.push(rest[index]!);
			rest[index] = rest.at(-1)!;
			rest.pop();
		}

		return picked;
	}

	/** Spreads a pause over 0.8 to 1.2 times `ms`, so that instances that started together drift apart. */
	spreadPause(ms: number): number {
		return ms * (80 + this.pickIndex(41)) / 100;
	}
}
