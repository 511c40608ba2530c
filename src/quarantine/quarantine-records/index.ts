/**
 * Keeps quarantines in the object API, where instances that start later read them and operators delete them.
 *
 * Objects name the end of a quarantine in Unix time. An instance converts it to its monotonic clock when it reads the
 * object, so a wrong wall clock changes when a quarantine ends there, at most by its length.
 */

import {LRUCache} from 'lru-cache';
import type {Clock} from '../../clock/clock/index.js';
import type {MonotonicMs, ResourceVersion} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {drawDelay} from '../../random/draw-delay/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {ObjectApiError, type ObjectApi, type StoredObject} from '../../store/object-api/index.js';
import {parseVersion} from '../../store/object-version/index.js';
import type {PartKey} from '../part-key/index.js';
import type {Quarantine} from '../quarantine-register/index.js';

/** Value of a stored quarantine, beside the fields that name its key. */
export type QuarantineRecord = {
	readonly crashes: number;
	/** End in Unix time, in milliseconds. */
	readonly until: number;
	readonly durationMs: number;
};

/** Difference of ends below which two records are of the same quarantine, in milliseconds. */
const sameEndToleranceMs = 2000;
/** Bounds of the pause before a retry, in milliseconds; a quarantine also holds while it is not stored. */
const retryDelayMs = {shortest: 250, longest: 5000};
/** Bounds of the pause before a lost object is written again, in milliseconds; one of the instances does so first. */
const rewriteDelayMs = {shortest: 0, longest: 2000};
const maximumRemovalAttempts = 5;
const maximumRememberedNames = 1000;
const randomSteps = 1000;

/** Translates between keys and what is stored for them. */
export type KeyCodec<Key extends string> = {
	/** Formats the name of a key's object: letters, digits, dots and hyphens, so that it needs no escaping in a path. */
	formatName(key: Key): string;
	/** Returns the fields that name the key. */
	describe(key: Key): Readonly<Record<string, string>>;
	/** Reads the key from a stored value; undefined if it is not valid. */
	parse(fields: Readonly<Partial<Record<string, unknown>>>): Key | undefined;
};

/** Options of `QuarantineRecords`. */
export type QuarantineRecordsOptions<Key extends string = PartKey> = {
	readonly codec: KeyCodec<Key>;
	/** Creates and reads objects, if necessary through a peer. */
	readonly objectApi: Pick<ObjectApi, 'get' | 'create' | 'update'>;
	readonly remover: Pick<ObjectApi, 'remove'>;
	readonly collection: string;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	/** Returns the quarantine of a key that is known at this instance. */
	readonly read: (key: Key) => Quarantine<Key> | undefined;
	/** Called for each stored quarantine that is new or changed. */
	readonly onStored: (quarantine: Quarantine<Key>) => void;
	/** Called for each key whose object has been removed. */
	readonly onRemoved: (key: Key) => void;
};

type KnownRecord<Key> = {readonly resourceVersion: ResourceVersion; readonly key: Key; readonly until: number};

/** Reads and writes the stored quarantines. */
export class QuarantineRecords<Key extends string = PartKey> {
	/** Objects in the last copy of the collection, by name. */
	private known = new Map<string, KnownRecord<Key>>();
	/** Names of the objects that this instance wrote, or may have written. */
	private readonly ownNames = new LRUCache<string, true>({max: maximumRememberedNames});
	private readonly refusedNames = new LRUCache<string, true>({max: maximumRememberedNames});

	constructor(private readonly options: QuarantineRecordsOptions<Key>) {}

	/** Takes over the objects of the collection at `version`. */
	replace(objects: readonly StoredObject[], version: string | undefined): void {
		const previous = this.known;
		this.known = new Map();
		for (const object of objects) {
			const quarantine = this.decodeObject(object);
			if (quarantine === undefined) {
				continue;
			}

			const {until} = object.value as QuarantineRecord;
			this.known.set(object.name, {resourceVersion: object.resourceVersion, key: quarantine.key, until});
			if (previous.get(object.name)?.resourceVersion !== object.resourceVersion) {
				this.options.onStored(quarantine);
			}
		}

		const era = version === undefined ? 0 : parseVersion(version).era;
		for (const [name, {key, resourceVersion}] of previous) {
			if (!this.known.has(name)) {
				const isLost = parseVersion(resourceVersion).era < era;
				if (isLost) {
					this.storeAgain(key);
				} else {
					this.options.onRemoved(key);
				}
			}
		}
	}

	/** Stores a quarantine after a delay, unless another instance has done so by then. Retries while the quarantine is current. */
	async store(quarantine: Quarantine<Key>, delayMs: number): Promise<void> {
		const {clock, logger, codec, read} = this.options;
		const {key} = quarantine;
		const name = codec.formatName(key);
		const until = Math.round(clock.readWall() + (quarantine.endsAt - clock.readMonotonic()));
		await clock.sleep(delayMs);
		for (let attempt = 1; this.isCurrent(quarantine) && !this.isStored(name, until); attempt += 1) {
			this.ownNames.set(name, true);
			try {
				await this.write(name, quarantine, until);
				logger.info('quarantine stored', {key, object: name, attempt});
				break;
			} catch (error) {
				logger.warn('quarantine not stored', {key, attempt, reason: (error as Error).message});
				await this.backOff(attempt);
			}
		}

		if (read(key) === undefined) {
			await this.removeOwn(key);
		}
	}

	/** Removes the object of a key if this instance wrote it. */
	async removeOwn(key: Key): Promise<void> {
		if (this.ownNames.has(this.options.codec.formatName(key))) {
			await this.remove(key);
		}
	}

	/** Removes the object of a key, if there is one. */
	async remove(key: Key): Promise<void> {
		const {remover, collection, logger, codec} = this.options;
		const name = codec.formatName(key);
		for (let attempt = 1; attempt <= maximumRemovalAttempts; attempt += 1) {
			try {
				await remover.remove(collection, name, this.known.get(name)?.resourceVersion);
				return;
			} catch (error) {
				if (error instanceof ObjectApiError && (error.failure === 'notFound' || error.failure === 'conflict')) {
					return;
				}

				logger.warn('quarantine not removed from the store', {key, attempt, reason: (error as Error).message});
				await this.backOff(attempt);
			}
		}
	}

	/** Stores a quarantine that a restore of the object API has removed, unless another instance does so first. */
	private storeAgain(key: Key): void {
		const {read, logger, random} = this.options;
		const quarantine = read(key);
		if (quarantine !== undefined) {
			logger.info('quarantine lost by the store', {key});
			void this.store(quarantine, drawDelay(random, rewriteDelayMs));
		}
	}

	private async backOff(attempt: number): Promise<void> {
		const {clock, random} = this.options;
		const longestMs = Math.min(retryDelayMs.longest, retryDelayMs.shortest * (2 ** attempt));
		await clock.sleep(longestMs * (randomSteps + random.pickIndex(randomSteps)) / (2 * randomSteps));
	}

	private isCurrent({key, endsAt}: Quarantine<Key>): boolean {
		return this.options.read(key)?.endsAt === endsAt;
	}

	/** Whether the last copy of the collection has a quarantine of the key that ends as late. */
	private isStored(name: string, until: number): boolean {
		const record = this.known.get(name);
		return record !== undefined && record.until >= until - sameEndToleranceMs;
	}

	/** Creates the object, or replaces the stored one if that ends earlier. */
	private async write(name: string, {key, crashes, durationMs}: Quarantine<Key>, until: number): Promise<void> {
		const {objectApi, collection, codec} = this.options;
		const record: QuarantineRecord = {
			...codec.describe(key), crashes, until, durationMs,
		};
		try {
			await objectApi.create(collection, name, record);
		} catch (error) {
			if (!(error instanceof ObjectApiError) || error.failure !== 'conflict') {
				throw error;
			}

			const stored = await objectApi.get<Partial<QuarantineRecord> | null>(collection, name);
			const storedUntil = Number(stored.value?.until ?? 0);
			if (!(storedUntil >= until - sameEndToleranceMs)) {
				await objectApi.update(collection, name, record, stored.resourceVersion);
			}
		}
	}

	private decodeObject(object: StoredObject): Quarantine<Key> | undefined {
		const {clock, logger, codec} = this.options;
		const quarantine = decodeRecord(object.value, codec, clock);
		if (quarantine === undefined && !this.refusedNames.has(object.name)) {
			this.refusedNames.set(object.name, true);
			logger.warn('stored quarantine refused', {object: object.name, reason: 'fields are missing or not valid'});
		}

		return quarantine;
	}
}

function decodeRecord<Key extends string>(value: unknown, codec: KeyCodec<Key>, clock: Clock): Quarantine<Key> | undefined {
	const fields = (typeof value === 'object' && value !== null ? value : {}) as Partial<Record<string, unknown>>;
	const {crashes, until, durationMs} = fields;
	const key = codec.parse(fields);
	if (key === undefined || !isCount(crashes) || !isCount(until) || !isCount(durationMs)) {
		return undefined;
	}

	const remainingMs = Math.min(until - clock.readWall(), durationMs);
	return {
		key, crashes, durationMs, endsAt: clock.readMonotonic() + remainingMs as MonotonicMs,
	};
}

function isCount(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
