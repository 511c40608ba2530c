/** The stand-in engine's prefix cache: bounded, least recently used blocks go first. */

import {LRUCache} from 'lru-cache';
import type {BlockKey, Incarnation} from '../../identity/ids/index.js';
import type {BlockSnapshot, CacheEvent} from '../../targets/engine-client/index.js';

const keptEvents = 10_000;

/** Prefix cache with a numbered log of its changes. */
export class EngineCache {
	private readonly blocks: LRUCache<BlockKey, true>;
	private events: CacheEvent[] = [];
	private sequence = 0;
	private readonly listeners = new Set<(event: CacheEvent) => void>();

	constructor(readonly incarnation: Incarnation, capacityBlocks: number) {
		this.blocks = new LRUCache({
			max: capacityBlocks,
			dispose: (_value, key, reason) => {
				if (reason === 'evict') {
					this.publish('evicted', [key]);
				}
			},
		});
	}

	/** Counts how many leading blocks are cached, and marks them as used. */
	matchPrefix(keys: readonly BlockKey[]): number {
		const miss = keys.findIndex(key => this.blocks.get(key) === undefined);
		return miss === -1 ? keys.length : miss;
	}

	/** Counts the leading blocks that are cached, without marking them as used. */
	countPrefix(keys: readonly BlockKey[]): number {
		const miss = keys.findIndex(key => !this.blocks.has(key));
		return miss === -1 ? keys.length : miss;
	}

	/** Stores blocks that are not cached yet. */
	store(keys: readonly BlockKey[]): void {
		const added = keys.filter(key => !this.blocks.has(key));
		for (const key of added) {
			this.blocks.set(key, true);
		}

		if (added.length > 0) {
			this.publish('stored', added);
		}
	}

	/** Drops everything, as new weights do. */
	clear(): void {
		this.blocks.clear();
		this.publish('cleared', []);
	}

	readSnapshot(): BlockSnapshot {
		return {incarnation: this.incarnation, sequence: this.sequence, blocks: [...this.blocks.keys()]};
	}

	/** Calls `listener` with kept events after `sequence` and with each later one; returns the function that stops it. */
	follow(sequence: number, listener: (event: CacheEvent) => void): () => void {
		for (const event of this.events) {
			if (event.sequence > sequence) {
				listener(event);
			}
		}

		this.listeners.add(listener);
		return () => {
			this.listeners.delete(listener);
		};
	}

	/** An event that only shows that the stream is alive and how far it is. */
	createHeartbeat(): CacheEvent {
		return {
			incarnation: this.incarnation, sequence: this.sequence, type: 'heartbeat', blocks: [],
		};
	}

	private publish(type: CacheEvent['type'], blocks: readonly BlockKey[]): void {
		this.sequence += 1;
		const event: CacheEvent = {
			incarnation: this.incarnation, sequence: this.sequence, type, blocks,
		};
		this.events.push(event);
		if (this.events.length > 2 * keptEvents) {
			this.events = this.events.slice(-keptEvents);
		}

		for (const listener of this.listeners) {
			listener(event);
		}
	}
}
