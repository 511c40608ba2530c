/**
 * Index of the blocks that one engine incarnation has cached. It is built from the sequence of cache
 * events, from snapshots and from the router's own recent requests. A gap in the sequence or a new
 * incarnation clears the index until a snapshot has been read.
 */

import {LRUCache} from 'lru-cache';
import type {BlockKey, Incarnation, MonotonicMs} from '../../identity/ids/index.js';
import {reportViolation} from '../../placement/report-violation/index.js';
import type {BlockSnapshot, CacheEvent} from '../engine-client/index.js';

/** Result of applying an event. */
export type EventOutcome = 'applied' | 'ignored' | 'outOfSync';

/** Incarnation and scope that an entry must match to count for a request. */
export type BlockScope = {
	/** Incarnation that the engine last reported. */
	readonly incarnation: Incarnation;
	/** Organisation, model, adapter and weights version in one string. */
	readonly scope: string;
};

type Entry = {readonly incarnation: Incarnation; readonly scope: string | undefined};
type AssumedEntry = Entry & {readonly expiresAt: number};

/** Default limit of blocks per engine. An entry takes about 150 bytes, so 14 engines stay under 18 MB. */
export const defaultMaximumBlocks = 8192;
/** Time for which the blocks of a sent request count as cached without an event. Covers queueing at the engine and delayed events. */
const assumedEntryLifetimeMs = 3000;

/** Index of one engine's cached blocks, bounded in size. */
export class CacheIndex {
	/** Number of missed events, according to gaps in the sequence. */
	missedEventCount = 0;
	private incarnation: Incarnation | undefined;
	private sequence = 0;
	private isOutOfSync = true;
	private readonly confirmed: LRUCache<BlockKey, Entry>;
	private readonly assumed: LRUCache<BlockKey, AssumedEntry>;

	constructor(maximumBlocks = defaultMaximumBlocks) {
		// With `maxSize` memory grows with use, whereas `max` would allocate it for all blocks of each engine at once.
		const limit = {maxSize: maximumBlocks, sizeCalculation: () => 1};
		this.confirmed = new LRUCache(limit);
		this.assumed = new LRUCache(limit);
	}

	/** Whether a snapshot must be read before events can be applied. */
	get needsSnapshot(): boolean {
		return this.isOutOfSync;
	}

	/** Sequence number of the last event that the index contains. */
	get lastSequence(): number {
		return this.sequence;
	}

	get size(): number {
		return this.confirmed.size + this.assumed.size;
	}

	/** Removes all entries and requires a snapshot. */
	reset(incarnation?: Incarnation): void {
		this.incarnation = incarnation;
		this.sequence = 0;
		this.isOutOfSync = true;
		this.confirmed.clear();
		this.assumed.clear();
	}

	/** Replaces the confirmed entries with a snapshot. Returns false if the snapshot is from an incarnation other than the reported one. */
	applySnapshot(snapshot: BlockSnapshot): boolean {
		if (this.incarnation !== undefined && snapshot.incarnation !== this.incarnation) {
			return false;
		}

		this.incarnation = snapshot.incarnation;
		this.sequence = snapshot.sequence;
		this.isOutOfSync = false;
		this.confirmed.clear();
		for (const block of snapshot.blocks) {
			this.confirmed.set(block, {incarnation: snapshot.incarnation, scope: this.assumed.peek(block)?.scope});
		}

		return true;
	}

	/** Applies the next event. After `outOfSync` the index is empty and a snapshot must be read. */
	applyEvent(event: CacheEvent): EventOutcome {
		if (event.incarnation !== this.incarnation) {
			this.reset();
			return 'outOfSync';
		}

		const expectedSequence = event.type === 'heartbeat' ? this.sequence : this.sequence + 1;
		if (event.sequence < expectedSequence) {
			return 'ignored';
		}

		if (event.sequence > expectedSequence || this.isOutOfSync) {
			this.missedEventCount += event.sequence - expectedSequence;
			this.reset(this.incarnation);
			return 'outOfSync';
		}

		this.sequence = event.sequence;
		this.applyChange(event);
		return 'applied';
	}

	/** Assumes for a few seconds that `blocks` are cached, because a request with them was sent to `scope.incarnation`. */
	recordSent(blocks: readonly BlockKey[], scope: BlockScope, now: MonotonicMs): void {
		for (const block of blocks) {
			const confirmedEntry = this.confirmed.get(block);
			if (confirmedEntry?.incarnation === scope.incarnation) {
				this.confirmed.set(block, {...confirmedEntry, scope: scope.scope});
			} else {
				this.assumed.set(block, {...scope, expiresAt: now + assumedEntryLifetimeMs});
			}
		}
	}

	/** Counts the leading blocks that the engine has cached for `scope`. */
	countPrefix(blocks: readonly BlockKey[], scope: BlockScope, now: MonotonicMs): number {
		// A state report may be newer or older than the index. Entries of another incarnation are never used.
		if (this.incarnation !== undefined && this.incarnation !== scope.incarnation) {
			return 0;
		}

		const missIndex = blocks.findIndex(block => !this.hasBlock(block, scope, now));
		return missIndex === -1 ? blocks.length : missIndex;
	}

	private hasBlock(block: BlockKey, scope: BlockScope, now: MonotonicMs): boolean {
		const entry = this.confirmed.peek(block) ?? this.findAssumed(block, now);
		return entry !== undefined && isUsable(entry, scope, block);
	}

	private findAssumed(block: BlockKey, now: MonotonicMs): Entry | undefined {
		const entry = this.assumed.peek(block);
		return entry !== undefined && entry.expiresAt > now ? entry : undefined;
	}

	private applyChange(event: CacheEvent): void {
		if (event.type === 'cleared') {
			this.confirmed.clear();
			this.assumed.clear();
			return;
		}

		for (const block of event.blocks) {
			if (event.type === 'stored') {
				this.confirmed.set(block, {incarnation: event.incarnation, scope: this.assumed.peek(block)?.scope});
			} else {
				this.confirmed.delete(block);
			}

			this.assumed.delete(block);
		}
	}
}

/** Whether an entry satisfies invariant 1: it counts only for its own incarnation and scope. A violation is reported. */
function isUsable(entry: Entry, scope: BlockScope, block: BlockKey): boolean {
	if (entry.incarnation !== scope.incarnation) {
		reportViolation('incarnation', `block ${block} of incarnation ${entry.incarnation} was looked up for incarnation ${scope.incarnation}`);
		return false;
	}

	// Keys are hashed with the scope, so scopes differ only after a hash collision.
	if (entry.scope !== undefined && entry.scope !== scope.scope) {
		reportViolation('scope', `block ${block} of scope ${entry.scope} was looked up for scope ${scope.scope}`);
		return false;
	}

	return true;
}
