/** The stand-in engine's prefix cache, which evicts the least recently used blocks. */

import {LRUCache} from 'lru-cache';
import type {BlockKey, Incarnation} from '../../identity/ids/index.js';
import type {BlockSnapshot, CacheEvent} from '../../targets/engine-client/index.js';

/** The log is cut to this length whenever it has grown to more than twice as much. */
const retainedEvents = 10_000;

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

	/** Counts the leading blocks that are cached and marks them as recently used. */
	matchPrefix(keys: readonly BlockKey[]): number {
		const firstMiss = keys.findIndex(key => this.blocks.get(key) === undefined);
		return firstMiss === -1 ? keys.length : firstMiss;
	}

	/** Counts the leading blocks that are cached, without marking them as recently used. */
	countPrefix(keys: readonly BlockKey[]): number {
		const firstMiss = keys.findIndex(key => !this.blocks.has(key));
		return firstMiss === -1 ? keys.length : firstMiss;
	}

	/** Stores blocks that are not cached yet. */
	store(keys: readonly BlockKey[]): void {
		const newKeys = keys.filter(key => !this.blocks.has(key));
		for (const key of newKeys) {
			this.blocks.set(key, true);
		}

		if (newKeys.length > 0) {
			this.publish('stored', newKeys);
		}
	}

	/** Removes all blocks, which loading new weights makes invalid. */
	clear(): void {
		this.blocks.clear();
		this.publish('cleared', []);
	}

	readSnapshot(): BlockSnapshot {
		return {incarnation: this.incarnation, sequence: this.sequence, blocks: [...this.blocks.keys()]};
	}

	/** Calls `listener` with the retained events after `sequence` and with each new event; returns a function that unsubscribes it. */
	subscribe(sequence: number, listener: (event: CacheEvent) => void): () => void {
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

	/** Creates an event without a change, which shows that the event stream is alive and carries the current sequence number. */
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
		if (this.events.length > 2 * retainedEvents) {
			this.events = this.events.slice(-retainedEvents);
		}

		for (const listener of this.listeners) {
			listener(event);
		}
	}
}
