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
import type {RandomSource} from '../../random/random-source/index.js';
import {ObjectApiError, type ObjectApi, type StoredObject} from '../../store/object-api/index.js';
import {parseVersion} from '../../store/object-version/index.js';
import {
	createPartKey, maximumKeyLength, splitPartKey, type PartKey,
} from '../part-key/index.js';
import type {Quarantine} from '../quarantine-register/index.js';

/** Value of a stored quarantine. */
export type QuarantineRecord = {
	readonly model: string;
	readonly part: string;
	readonly crashes: number;
	/** End in Unix time, in milliseconds. */
	readonly until: number;
	readonly durationMs: number;
};

/** Difference of ends below which two records are of the same quarantine, in milliseconds. */
const sameEndToleranceMs = 2000;
/** Bounds of the pause before a retry, in milliseconds; a quarantine also holds while it is not stored. */
const retryDelayMs = {shortest: 250, longest: 5000};
/** Longest pause before a lost object is written again, in milliseconds; one of the instances does so first. */
const maximumRewriteDelayMs = 2000;
const maximumRemovalAttempts = 5;
const maximumRememberedNames = 1000;
const randomSteps = 1000;

/** Options of `QuarantineRecords`. */
export type QuarantineRecordsOptions = {
	/** Creates and reads objects, if necessary through a peer. */
	readonly objectApi: Pick<ObjectApi, 'get' | 'create' | 'update'>;
	readonly remover: Pick<ObjectApi, 'remove'>;
	readonly collection: string;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	/** Returns the quarantine of a part that is known at this instance. */
	readonly read: (part: PartKey) => Quarantine | undefined;
	/** Called for each stored quarantine that is new or changed. */
	readonly onStored: (quarantine: Quarantine) => void;
	/** Called for each part whose object has been removed. */
	readonly onRemoved: (part: PartKey) => void;
};

type KnownRecord = {readonly resourceVersion: ResourceVersion; readonly part: PartKey; readonly until: number};

/** Reads and writes the stored quarantines. */
export class QuarantineRecords {
	/** Objects in the last copy of the collection, by name. */
	private known = new Map<string, KnownRecord>();
	/** Names of the objects that this instance wrote, or may have written. */
	private readonly ownNames = new LRUCache<string, true>({max: maximumRememberedNames});
	private readonly refusedNames = new LRUCache<string, true>({max: maximumRememberedNames});

	constructor(private readonly options: QuarantineRecordsOptions) {}

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
			this.known.set(object.name, {resourceVersion: object.resourceVersion, part: quarantine.part, until});
			if (previous.get(object.name)?.resourceVersion !== object.resourceVersion) {
				this.options.onStored(quarantine);
			}
		}

		const era = version === undefined ? 0 : parseVersion(version).era;
		for (const [name, {part, resourceVersion}] of previous) {
			if (!this.known.has(name)) {
				const isLost = parseVersion(resourceVersion).era < era;
				if (isLost) {
					this.storeAgain(part);
				} else {
					this.options.onRemoved(part);
				}
			}
		}
	}

	/** Stores a quarantine after a delay, unless another instance has done so by then. Retries while the quarantine is current. */
	async store(quarantine: Quarantine, delayMs: number): Promise<void> {
		const {clock, logger} = this.options;
		const name = formatObjectName(quarantine.part);
		const until = Math.round(clock.readWall() + (quarantine.endsAt - clock.readMonotonic()));
		await clock.sleep(delayMs);
		for (let attempt = 1; this.isCurrent(quarantine) && !this.isStored(name, until); attempt += 1) {
			this.ownNames.set(name, true);
			try {
				await this.write(name, quarantine, until);
				logger.info('quarantine stored', {part: quarantine.part, object: name, attempt});
				break;
			} catch (error) {
				logger.warn('quarantine not stored', {part: quarantine.part, attempt, reason: (error as Error).message});
				await this.backOff(attempt);
			}
		}

		if (this.options.read(quarantine.part) === undefined) {
			await this.removeOwn(quarantine.part);
		}
	}

	/** Removes the object of a part if this instance wrote it. */
	async removeOwn(part: PartKey): Promise<void> {
		if (this.ownNames.has(formatObjectName(part))) {
			await this.remove(part);
		}
	}

	/** Removes the object of a part, if there is one. */
	async remove(part: PartKey): Promise<void> {
		const {remover, collection, logger} = this.options;
		const name = formatObjectName(part);
		for (let attempt = 1; attempt <= maximumRemovalAttempts; attempt += 1) {
			try {
				await remover.remove(collection, name, this.known.get(name)?.resourceVersion);
				return;
			} catch (error) {
				if (error instanceof ObjectApiError && (error.failure === 'notFound' || error.failure === 'conflict')) {
					return;
				}

				logger.warn('quarantine not removed from the store', {part, attempt, reason: (error as Error).message});
				await this.backOff(attempt);
			}
		}
	}

	/** Stores a quarantine that a restore of the object API has removed, unless another instance does so first. */
	private storeAgain(part: PartKey): void {
		const {read, logger, random} = this.options;
		const quarantine = read(part);
		if (quarantine !== undefined) {
			logger.info('quarantine lost by the store', {part});
			void this.store(quarantine, maximumRewriteDelayMs * random.pickIndex(randomSteps) / randomSteps);
		}
	}

	private async backOff(attempt: number): Promise<void> {
		const {clock, random} = this.options;
		const longestMs = Math.min(retryDelayMs.longest, retryDelayMs.shortest * (2 ** attempt));
		await clock.sleep(longestMs * (randomSteps + random.pickIndex(randomSteps)) / (2 * randomSteps));
	}

	private isCurrent({part, endsAt}: Quarantine): boolean {
		return this.options.read(part)?.endsAt === endsAt;
	}

	/** Whether the last copy of the collection has a quarantine of the part that ends as late. */
	private isStored(name: string, until: number): boolean {
		const record = this.known.get(name);
		return record !== undefined && record.until >= until - sameEndToleranceMs;
	}

	/** Creates the object, or replaces the stored one if that ends earlier. */
	private async write(name: string, {part, crashes, durationMs}: Quarantine, until: number): Promise<void> {
		const {objectApi, collection} = this.options;
		const {model, partId} = splitPartKey(part);
		const record: QuarantineRecord = {
			model, part: partId, crashes, until, durationMs,
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

	private decodeObject(object: StoredObject): Quarantine | undefined {
		const {clock, logger} = this.options;
		const quarantine = decodeRecord(object.value, clock);
		if (quarantine === undefined && !this.refusedNames.has(object.name)) {
			this.refusedNames.set(object.name, true);
			logger.warn('stored quarantine refused', {object: object.name, reason: 'fields are missing or not valid'});
		}

		return quarantine;
	}
}

/** Formats the name of a part's object: letters, digits and dots, so that it needs no escaping in a path. */
export function formatObjectName(part: PartKey): string {
	const {model, partId} = splitPartKey(part);
	return `${escapeName(partId)}.${escapeName(model)}`;
}

function escapeName(text: string): string {
	return text.replaceAll(/[^a-z\d]/giu, character => `-${character.codePointAt(0)!.toString(16)}-`);
}

function decodeRecord(value: unknown, clock: Clock): Quarantine | undefined {
	const {model, part, crashes, until, durationMs} = (typeof value === 'object' && value !== null ? value : {}) as Partial<Record<string, unknown>>;
	if (typeof model !== 'string' || typeof part !== 'string' || !isCount(crashes) || !isCount(until) || !isCount(durationMs)) {
		return undefined;
	}

	const remainingMs = Math.min(until - clock.readWall(), durationMs);
	const key = createKey(model, part);
	if (key === undefined) {
		return undefined;
	}

	return {
		part: key, crashes, durationMs, endsAt: clock.readMonotonic() + remainingMs as MonotonicMs,
	};
}

/** Creates a part's key; undefined if it is too long or has characters without an encoding. */
function createKey(model: string, part: string): PartKey | undefined {
	try {
		const key = createPartKey(model, part);
		return key.length <= maximumKeyLength ? key : undefined;
	} catch {
		return undefined;
	}
}

function isCount(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
