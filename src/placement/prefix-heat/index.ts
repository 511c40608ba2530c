/** Share of the recent requests that start with a prefix: an exponentially decaying count per key. */

import {LRUCache} from 'lru-cache';
import type {BlockKey, MonotonicMs} from '../../identity/ids/index.js';

type Counter = {value: number; at: number};

/** Keys kept. A forgotten key starts again at 0, as a cold one would. */
const maximumKeys = 16_384;
const zero: Readonly<Counter> = {value: 0, at: 0};

/** Heat of prefixes, bounded in size. */
export class PrefixHeat {
	private readonly counters = new LRUCache<BlockKey, Counter>({max: maximumKeys});
	private readonly total: Counter = {...zero};

	/** `halfLifeMs` is the time in which a count halves when nothing is added. */
	constructor(private readonly halfLifeMs: number) {}

	/** Notes a request with these prefixes. */
	note(blocks: readonly BlockKey[], now: MonotonicMs): void {
		this.add(this.total, now);
		for (const block of blocks) {
			const counter = this.counters.get(block) ?? {...zero};
			this.add(counter, now);
			this.counters.set(block, counter);
		}
	}

	/** Share of recent requests that start with `block`'s prefix, 0 to 1. */
	readShare(block: BlockKey, now: MonotonicMs): number {
		const counter = this.counters.peek(block);
		const total = this.decay(this.total, now);
		return counter === undefined || total === 0 ? 0 : this.decay(counter, now) / total;
	}

	private add(counter: Counter, now: MonotonicMs): void {
		counter.value = this.decay(counter, now) + 1;
		counter.at = now;
	}

	private decay(counter: Readonly<Counter>, now: MonotonicMs): number {
		return counter.value * (0.5 ** ((now - counter.at) / this.halfLifeMs));
	}
}
