/** Estimates the share of recent requests that start with a prefix, from an exponentially decaying count per key. */

import {LRUCache} from 'lru-cache';
import type {BlockKey, MonotonicMs} from '../../identity/ids/index.js';

type Counter = {value: number; at: number};

/** Maximum number of keys. An evicted key starts again at 0, like one that was never seen. */
const maximumKeys = 16_384;
const zero: Readonly<Counter> = {value: 0, at: 0};

/** Decaying request counts per prefix, limited in number. */
export class PrefixPopularity {
	private readonly counters = new LRUCache<BlockKey, Counter>({max: maximumKeys});
	private readonly total: Counter = {...zero};

	/** `halfLifeMs` is the time in which a count halves when nothing is added. */
	constructor(private readonly halfLifeMs: number) {}

	/** Records a request with these prefixes. */
	recordRequest(blocks: readonly BlockKey[], now: MonotonicMs): void {
		this.add(this.total, now);
		for (const block of blocks) {
			const counter = this.counters.get(block) ?? {...zero};
			this.add(counter, now);
			this.counters.set(block, counter);
		}
	}

	/** Returns the share of recent requests that start with the prefix of key `block`, from 0 to 1. */
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
