/**
 * What a router knows of the blocks cached by one engine incarnation. Knowledge comes from cache
 * events in sequence, from snapshots, and from the router's own recent requests. After a gap in the
 * events or a new incarnation everything known is dropped until a snapshot has been read.
 */

import {LRUCache} from 'lru-cache';
import type {BlockKey, Incarnation, MonotonicMs} from '../../identity/ids/index.js';
import {reportViolation} from '../../placement/report-violation/index.js';
import type {BlockSnapshot, CacheEvent} from '../engine-client/index.js';

/** What became of an event. */
export type EventOutcome = 'applied' | 'ignored' | 'inDoubt';

/** What an entry must agree with to count for a request. */
export type BlockScope = {
	/** Incarnation that the engine reported last. */
	readonly incarnation: Incarnation;
	/** Organisation, model, adapter and weights version in one string. */
	readonly scope: string;
};

type Entry = {readonly incarnation: Incarnation; readonly scope: string | undefined};
type AssumedEntry = Entry & {readonly expiresAt: number};

/** Blocks known per engine by default. An entry takes about 150 bytes, so 14 engines stay under 18 MB. */
export const defaultIndexBlocks = 8192;
/** How long a sent request's blocks count as cached without an event. Covers queueing at the engine and late events. */
const assumedMs = 3000;

/** Index of one engine's cached blocks, bounded in size. */
export class CacheIndex {
	/** Events that were missed, by the jumps in the sequence. */
	gapCount = 0;
	private incarnation: Incarnation | undefined;
	private sequence = 0;
	private isDoubtful = true;
	private readonly confirmed: LRUCache<BlockKey, Entry>;
	private readonly assumed: LRUCache<BlockKey, AssumedEntry>;

	constructor(maximumBlocks = defaultIndexBlocks) {
		// A limit by size grows with use; a limit by count would reserve memory for all blocks of each engine at once.
		const limit = {maxSize: maximumBlocks, sizeCalculation: () => 1};
		this.confirmed = new LRUCache(limit);
		this.assumed = new LRUCache(limit);
	}

	/** Whether a snapshot must be read before events can be followed. */
	get needsSnapshot(): boolean {
		return this.isDoubtful;
	}

	/** Sequence of the last event contained in the index. */
	get lastSequence(): number {
		return this.sequence;
	}

	get size(): number {
		return this.confirmed.size + this.assumed.size;
	}

	/** Drops all entries and waits for a snapshot. */
	reset(incarnation?: Incarnation): void {
		this.incarnation = incarnation;
		this.sequence = 0;
		this.isDoubtful = true;
		this.confirmed.clear();
		this.assumed.clear();
	}

	/** Replaces what is known by a snapshot. Returns false when the snapshot belongs to another incarnation than the one reported. */
	applySnapshot(snapshot: BlockSnapshot): boolean {
		if (this.incarnation !== undefined && snapshot.incarnation !== this.incarnation) {
			return false;
		}

		this.incarnation = snapshot.incarnation;
		this.sequence = snapshot.sequence;
		this.isDoubtful = false;
		this.confirmed.clear();
		for (const block of snapshot.blocks) {
			this.confirmed.set(block, {incarnation: snapshot.incarnation, scope: this.assumed.peek(block)?.scope});
		}

		return true;
	}

	/** Applies the next event. After `inDoubt` nothing is known and a snapshot must be read. */
	applyEvent(event: CacheEvent): EventOutcome {
		if (event.incarnation !== this.incarnation) {
			this.reset();
			return 'inDoubt';
		}

		const expected = event.type === 'heartbeat' ? this.sequence : this.sequence + 1;
		if (event.sequence < expected) {
			return 'ignored';
		}

		if (event.sequence > expected || this.isDoubtful) {
			this.gapCount += event.sequence - expected;
			this.reset(this.incarnation);
			return 'inDoubt';
		}

		this.sequence = event.sequence;
		this.applyChange(event);
		return 'applied';
	}

	/** Counts `blocks` as cached for a few seconds, since a request with them was sent to `scope.incarnation`. */
	noteSent(blocks: readonly BlockKey[], scope: BlockScope, now: MonotonicMs): void {
		for (const block of blocks) {
			const known = this.confirmed.get(block);
			if (known?.incarnation === scope.incarnation) {
				this.confirmed.set(block, {...known, scope: scope.scope});
			} else {
				this.assumed.set(block, {...scope, expiresAt: now + assumedMs});
			}
		}
	}

	/** Counts the leading blocks that the engine is known to hold for `scope`. */
	countPrefix(blocks: readonly BlockKey[], scope: BlockScope, now: MonotonicMs): number {
		// A state report may be ahead of the index or behind it; entries of the other incarnation are never used.
		if (this.incarnation !== undefined && this.incarnation !== scope.incarnation) {
			return 0;
		}

		const miss = blocks.findIndex(block => !this.hasBlock(block, scope, now));
		return miss === -1 ? blocks.length : miss;
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

/** Checks invariant 1 for one entry; an entry that breaks it is reported and not used. */
function isUsable(entry: Entry, scope: BlockScope, block: BlockKey): boolean {
	if (entry.incarnation !== scope.incarnation) {
		reportViolation('incarnation', `block ${block} of ${entry.incarnation} met a request for ${scope.incarnation}`);
		return false;
	}

	// Keys contain the scope, so this differs only if two scopes hash to the same key.
	if (entry.scope !== undefined && entry.scope !== scope.scope) {
		reportViolation('scope', `block ${block} of ${entry.scope} met a request of ${scope.scope}`);
		return false;
	}

	return true;
}
