/** Remembers which software version began each stream, for as long as its caller may take it up. */

import {LRUCache} from 'lru-cache';
import type {MonotonicMs, SoftwareVersion} from '../../identity/ids/index.js';
import type {StreamKey} from '../stream-key/index.js';

/** The version that began one stream. */
export type StreamRecord = {
	readonly key: StreamKey;
	readonly software: SoftwareVersion;
	/** Number of the recording of the stream. A later one replaces those before, which brought no event. */
	readonly recording: number;
	/** When the caller no longer waits for the stream. */
	readonly expiresAt: MonotonicMs;
};

type Entry = {
	/** Undefined if two versions may have begun it: both were asked, or two streams have the same key. */
	readonly software: SoftwareVersion | undefined;
	readonly recording: number;
	readonly expiresAt: MonotonicMs;
};

/** What is known of a stream. `conflicting`: two versions may have begun it. */
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

	/** Records a stream; a later expiry replaces an earlier one, and a later recording all before it. */
	add({key, software, recording, expiresAt}: StreamRecord, now: MonotonicMs): void {
		const existing = this.findEntry(key, now);
		const isKnown = existing?.recording === recording && existing.software === software && existing.expiresAt >= expiresAt;
		if (isKnown || (existing !== undefined && recording < existing.recording)) {
			return;
		}

		const hasConflict = existing?.recording === recording && existing.software !== software;
		this.changeCount += 1;
		this.entries.set(key, {
			software: hasConflict ? undefined : software, recording, expiresAt: Math.max(expiresAt, existing?.expiresAt ?? 0) as MonotonicMs,
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
		for (const [key, {software, recording, expiresAt}] of this.entries.entries()) {
			if (software !== undefined && expiresAt > now) {
				records.push({
					key, software, recording, expiresAt,
				});
			}
		}

		return records;
	}

	/** Forgets a stream. */
	delete(key: StreamKey): void {
		this.entries.delete(key);
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
