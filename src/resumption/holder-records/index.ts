/**
 * Keeps the records that this instance holds in the object API, and finds those of all holders there, so that they outlive a
 * kill of all instances. Only while there are several versions is anything written.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, MonotonicMs, SoftwareVersion} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {ConditionalObject} from '../../store/conditional-object/index.js';
import type {ObjectApi} from '../../store/object-api/index.js';
import {formatHeldStreams, parseHeldStreams, type HeldStream} from '../held-streams/index.js';
import type {StreamKey} from '../stream-key/index.js';
import type {StreamFinding, StreamRegister} from '../stream-register/index.js';

/** Prefix of the names of the holders' objects. */
export const holderPrefix = 'holder-';
/** Minimum time between two writes of a holder, in milliseconds. Streams that begin within it before a kill of all instances may not be recorded. */
const shortestWriteIntervalMs = 100;
/** Limit of the writes of all holders together. */
const maximumWritesPerSecond = 100;
const msPerSecond = 1000;
/** Minimum time between two readings of all holders' objects, in milliseconds. */
const readIntervalMs = 400;
/** Longest wait for a reading, in milliseconds; while the object API is slow, other holders are asked. */
const readWaitMs = 300;

/** Options of `HolderRecords`. */
export type HolderRecordsOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly logger: EventLogger;
	/** Replaces the object of this instance, if necessary through a peer. */
	readonly objectApi: Pick<ObjectApi, 'get' | 'create' | 'update'>;
	/** Reads and removes the objects of all holders. */
	readonly directObjectApi: Pick<ObjectApi, 'list' | 'remove'>;
	readonly collection: string;
	/** Returns for how long callers may wait for a stream, in milliseconds. */
	readonly readLongestWaitMs: () => number;
};

/** Calculates the time between two writes of each of `holders` instances, in milliseconds. */
export function calculateWriteIntervalMs(holders: number): number {
	return Math.max(shortestWriteIntervalMs, holders * msPerSecond / maximumWritesPerSecond);
}

/** Writes the records of one holder and reads those of all. */
export class HolderRecords {
	private readonly object: ConditionalObject;
	private writtenChangeCount = 0;
	/** Streams in the objects of all holders, as last read. */
	private stored = new Map<StreamKey, StreamFinding>();
	private readAt = Number.NEGATIVE_INFINITY;
	private reading: Promise<void> | undefined;

	constructor(private readonly options: HolderRecordsOptions, private readonly held: StreamRegister) {
		this.object = new ConditionalObject({...options, name: holderPrefix + options.self});
	}

	/** Finds a stream in the objects of all holders; resolves to undefined if it isn't there or they can't be read. */
	async find(key: StreamKey): Promise<SoftwareVersion | undefined> {
		if (!this.stored.has(key) && (this.reading !== undefined || this.options.clock.readMonotonic() - this.readAt >= readIntervalMs)) {
			this.reading ??= this.readAll();
			await Promise.race([this.reading, this.options.clock.sleep(readWaitMs)]);
		}

		const finding = this.stored.get(key);
		return finding === 'conflicting' ? undefined : finding;
	}

	/** Writes the records that are held at `now`, if any have come since the last time. */
	async write(now: MonotonicMs): Promise<void> {
		const {held, object, options: {logger}} = this;
		if (held.changeCount === this.writtenChangeCount) {
			return;
		}

		try {
			if (!object.isKnown) {
				this.takeOver(await object.read(), now);
			}

			const {changeCount} = held;
			await object.write(formatHeldStreams(held.list(now)));
			this.writtenChangeCount = changeCount;
		} catch (error) {
			logger.warn('stream records not stored', {reason: (error as Error).message});
		}
	}

	/** Removes the objects of all holders, which nobody needs while there is one version. */
	async removeAll(): Promise<void> {
		const {directObjectApi, collection, logger} = this.options;
		try {
			const {items} = await directObjectApi.list(collection);
			const names = items.map(({name}) => name).filter(name => name.startsWith(holderPrefix));
			for (const name of names) {
				await directObjectApi.remove(collection, name);
			}
		} catch (error) {
			logger.warn('stream records not removed', {reason: (error as Error).message});
		}
	}

	/** Adds the records that an earlier process of this instance has written. When they end is not stored. */
	private takeOver(value: unknown, now: MonotonicMs): void {
		const expiresAt = now + this.options.readLongestWaitMs() as MonotonicMs;
		for (const {key, software} of this.parse(holderPrefix + this.options.self, value)) {
			this.held.add({
				key, software, recording: 1, expiresAt,
			}, now);
		}
	}

	private async readAll(): Promise<void> {
		const {clock, logger, directObjectApi, collection} = this.options;
		this.readAt = clock.readMonotonic();
		try {
			const {items} = await directObjectApi.list(collection);
			const stored = new Map<StreamKey, StreamFinding>();
			for (const {key, software} of items.filter(({name}) => name.startsWith(holderPrefix)).flatMap(({name, value}) => this.parse(name, value))) {
				const known = stored.get(key);
				stored.set(key, known === undefined || known === software ? software : 'conflicting');
			}

			this.stored = stored;
		} catch (error) {
			logger.warn('stream records not read', {reason: (error as Error).message});
		} finally {
			this.reading = undefined;
		}
	}

	private parse(name: string, value: unknown): HeldStream[] {
		try {
			return value === undefined ? [] : parseHeldStreams(value);
		} catch (error) {
			this.options.logger.warn('stored stream records ignored', {object: name, reason: (error as Error).message});
			return [];
		}
	}
}
