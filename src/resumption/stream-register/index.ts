/** Remembers which software version began each stream, for as long as its caller may take it up. */

import {LRUCache} from 'lru-cache';
import type {MonotonicMs, SoftwareVersion} from '../../identity/ids/index.js';
import type {StreamKey} from '../stream-key/index.js';

/** The version that began one stream. */
export type StreamRecord = {
	readonly key: StreamKey;
	readonly software: SoftwareVersion;
	/** Number of the call's attempt. A later attempt replaces an earlier one, which brought no event. */
	readonly attempt: number;
	/** When the caller no longer waits for the stream. */
	readonly expiresAt: MonotonicMs;
};

type Entry = {
	/** Undefined if two streams with the same key began at different versions, so that nothing is known of either. */
	readonly software: SoftwareVersion | undefined;
	readonly attempt: number;
	readonly expiresAt: MonotonicMs;
};

/** What is known of a stream. `conflicting`: its key was used for streams of two versions. */
export type StreamFinding = SoftwareVersion | 'conflicting' | undefined;

/** Limit of the remembered streams; above it, the least recently used one is forgotten. */
const maximumRecords = 50_000;

/** Records of streams, by key. */
export class StreamRegister {
	/** Number of changes so far. */
	changeCount = 0;
	private readonly entries = new LRUCache<StreamKey, Entry>({max: maximumRecords});

	get size(): number {
		return this.entries.size;
	}

	/** Records a stream; a later expiry replaces an earlier one, and a later attempt all before it. */
	add({key, software, attempt, expiresAt}: StreamRecord, now: MonotonicMs): void {
		const existing = this.findEntry(key, now);
		const isKnown = existing?.attempt === attempt && existing.software === software && existing.expiresAt >= expiresAt;
		if (isKnown || (existing !== undefined && attempt < existing.attempt)) {
			return;
		}

		const hasConflict = existing?.attempt === attempt && existing.software !== software;
		this.changeCount += 1;
		this.entries.set(key, {
			software: hasConflict ? undefined : software, attempt, expiresAt: Math.max(expiresAt, existing?.expiresAt ?? 0) as MonotonicMs,
		});
	}

	/** Finds the version that began a stream; undefined if it is not known. */
	find(key: StreamKey, now: MonotonicMs): StreamFinding {
		const entry = this.findEntry(key, now);
		return entry === undefined ? undefined : (entry.software ?? 'conflicting');
	}

	/** Lists the streams whose version is known. */
	list(now: MonotonicMs): StreamRecord[] {
		const records: StreamRecord[] = [];
		for (const [key, {software, attempt, expiresAt}] of this.entries.entries()) {
			if (software !== undefined && expiresAt > now) {
				records.push({
					key, software, attempt, expiresAt,
				});
			}
		}

		return records;
	}

	/** Forgets streams whose callers no longer wait. */
	prune(now: MonotonicMs): void {
		for (const [key, {expiresAt}] of this.entries.entries()) {
			if (expiresAt <= now) {
				this.entries.delete(key);
			}
		}
	}

	private findEntry(key: StreamKey, now: MonotonicMs): Entry | undefined {
		const entry = this.entries.get(key);
		return entry !== undefined && entry.expiresAt > now ? entry : undefined;
	}
}
