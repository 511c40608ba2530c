/**
 * Which targets have lately computed or fetched which prompt prefix, as far as the calls of all instances
 * tell. Entries are hints: a target may have evicted the prefix, and then computes it again.
 */

import {LRUCache} from 'lru-cache';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';

/** A prefix within a name space of cache entries. */
export type PrefixKey = string;

/** One use of a prefix at a target. */
export type PrefixUse = readonly [prefix: PrefixKey, target: TargetId];

/** Time for which a target is expected to keep an unused prefix, in milliseconds. */
const keptMs = 12_000;
/** Prefixes remembered; the least recently used ones go first. */
const maximumPrefixes = 4000;
/** Own uses that are kept for other instances; more than an instance serves until each of them had its turn. */
const maximumOwnUses = 400;

/** Remembers the holders of prefixes. */
export class PrefixDirectory {
	private readonly holders = new LRUCache<PrefixKey, Map<TargetId, MonotonicMs>>({max: maximumPrefixes});
	private ownUses: PrefixUse[] = [];
	/** Own uses that are no longer kept. */
	private droppedUses = 0;

	/** Notes that this instance sent a call with `prefix` to `target`. */
	noteOwnUse(prefix: PrefixKey, target: TargetId, now: MonotonicMs): void {
		this.noteUse(prefix, target, now);
		this.ownUses.push([prefix, target]);
		if (this.ownUses.length > maximumOwnUses) {
			const dropped = Math.floor(this.ownUses.length / 2);
			this.ownUses = this.ownUses.slice(dropped);
			this.droppedUses += dropped;
		}
	}

	/** Number that the next own use will get. */
	get nextOwnUse(): number {
		return this.droppedUses + this.ownUses.length;
	}

	/** Notes a use by any instance. */
	noteUse(prefix: PrefixKey, target: TargetId, now: MonotonicMs): void {
		const targets = this.holders.get(prefix) ?? new Map<TargetId, MonotonicMs>();
		targets.set(target, now);
		this.holders.set(prefix, targets);
	}

	/** Lists the targets that probably hold `prefix`, the latest use first. */
	listHolders(prefix: PrefixKey, now: MonotonicMs): TargetId[] {
		const targets = [...this.holders.get(prefix) ?? []];
		const recent = targets.filter(([, at]) => now - at < keptMs);
		return recent.toSorted((a, b) => b[1] - a[1]).map(([target]) => target);
	}

	/** Lists the latest own uses from number `first` on, `count` at most. */
	listOwnUses(first: number, count: number): readonly PrefixUse[] {
		return this.ownUses.slice(Math.max(0, first - this.droppedUses)).slice(-count);
	}
}

/** Formats the key of a prefix. */
export function formatPrefixKey(scope: string, prefix: string): PrefixKey {
	return `${scope}|${prefix}`;
}
