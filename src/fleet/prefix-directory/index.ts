/**
 * Directory of the targets that have recently computed or fetched a prompt prefix, built from the calls of all
 * instances. Entries are hints: a target that has evicted the prefix computes it again.
 */

import {LRUCache} from 'lru-cache';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {DecayedSum} from '../decayed-sum/index.js';

/** Id of a prefix within a namespace of cache entries. */
export type PrefixKey = string;

/** One use of a prefix at a target. */
export type PrefixUse = readonly [prefix: PrefixKey, target: TargetId];

/** Time for which a target is expected to keep an unused prefix cached. */
const prefixRetentionMs = 12_000;
/** Time in which a past use of a prefix loses half of its weight in the rate of uses, in milliseconds. */
const useHalfLifeMs = 3000;
/** Maximum number of prefixes; the least recently used are evicted. */
const maximumPrefixes = 4000;
/** Own uses kept for reports to other instances; more than an instance has before each of them gets its next report. */
const maximumOwnUses = 400;

type PrefixRecord = {readonly holders: Map<TargetId, MonotonicMs>; readonly uses: DecayedSum};

/** Records which targets hold which prefix. */
export class PrefixDirectory {
	private readonly records = new LRUCache<PrefixKey, PrefixRecord>({max: maximumPrefixes});
	private ownUses: PrefixUse[] = [];
	/** Number of own uses that have been dropped from the start of `ownUses`. */
	private droppedUseCount = 0;

	/** Records that this instance sent a call with `prefix` to `target`. */
	recordOwnUse(prefix: PrefixKey, target: TargetId, now: MonotonicMs): void {
		this.recordUse(prefix, target, now);
		this.ownUses.push([prefix, target]);
		if (this.ownUses.length > maximumOwnUses) {
			const dropCount = Math.floor(this.ownUses.length / 2);
			this.ownUses = this.ownUses.slice(dropCount);
			this.droppedUseCount += dropCount;
		}
	}

	/** Sequence number of the next own use. */
	get nextOwnUseNumber(): number {
		return this.droppedUseCount + this.ownUses.length;
	}

	/** Records a use by any instance. */
	recordUse(prefix: PrefixKey, target: TargetId, now: MonotonicMs): void {
		const record = this.records.get(prefix) ?? {holders: new Map<TargetId, MonotonicMs>(), uses: new DecayedSum(useHalfLifeMs)};
		record.holders.set(target, now);
		record.uses.add(1, now);
		this.records.set(prefix, record);
	}

	/** Lists the targets that probably hold `prefix`, the most recent use first. */
	listHolders(prefix: PrefixKey, now: MonotonicMs): TargetId[] {
		const targets = [...this.records.get(prefix)?.holders ?? []];
		const recent = targets.filter(([, usedAt]) => now - usedAt < prefixRetentionMs);
		return recent.toSorted((a, b) => b[1] - a[1]).map(([target]) => target);
	}

	/** Estimates the uses of `prefix` by all instances in a second. */
	readUsesPerSecond(prefix: PrefixKey, now: MonotonicMs): number {
		return this.records.get(prefix)?.uses.readPerSecond(now) ?? 0;
	}

	/** Lists the most recent own uses from sequence number `firstNumber` on, at most `limit`. */
	listOwnUses(firstNumber: number, limit: number): readonly PrefixUse[] {
		return this.ownUses.slice(Math.max(0, firstNumber - this.droppedUseCount)).slice(-limit);
	}
}

/** Formats the key of `prefix` in the namespace `scope`. */
export function formatPrefixKey(scope: string, prefix: string): PrefixKey {
	return `${scope}|${prefix}`;
}
