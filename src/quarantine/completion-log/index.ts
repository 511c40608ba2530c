/** Remembers when calls with a key last ended with a complete answer, which clears the key of crashes before, also of those that are reported later. */

import {LRUCache} from 'lru-cache';
import type {MonotonicMs} from '../../identity/ids/index.js';

const maximumKeys = 4096;

/** Last complete answers by key. */
export class CompletionLog<Key extends string> {
	private readonly completions = new LRUCache<Key, MonotonicMs>({max: maximumKeys});

	/** Records that a call with the key ended with a complete answer. */
	record(key: Key, endedAt: MonotonicMs): void {
		const previous = this.completions.peek(key) ?? endedAt;
		this.completions.set(key, Math.max(previous, endedAt) as MonotonicMs);
	}

	/** Returns when a call with the key last ended with a complete answer; undefined if it is not known. */
	read(key: Key): MonotonicMs | undefined {
		return this.completions.get(key);
	}

	/** Whether a call with the key ended with a complete answer at `since` or later. */
	hasCompletedSince(key: Key, since: MonotonicMs): boolean {
		const completedAt = this.completions.peek(key);
		return completedAt !== undefined && completedAt >= since;
	}
}
