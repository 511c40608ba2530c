/**
 * Records of calls with an idempotency key, in the object API. One conditional create claims a key before its call is
 * sent; the record then holds the answer. A record without an answer stands for a call in progress or of unknown
 * outcome, and is never taken over before it expires.
 */

import {createHash, randomUUID} from 'node:crypto';
import type {Clock} from '../../clock/clock/index.js';
import type {
	Branded, OrganisationId, ResourceVersion, RouteId, WallMs,
} from '../../identity/ids/index.js';
import {ObjectApiError, type ObjectApi, type StoredObject} from '../../store/object-api/index.js';
import {createRouterError, RouterError} from '../../results/create-router-error/index.js';
import {calculateBackoff} from '../calculate-backoff/index.js';
import type {RequestMetrics} from '../request-metrics/index.js';

/** Hash of organisation, route and key; the name of the record. */
export type RecordName = Branded<string, 'RecordName'>;
/** Hash of what the call asks for. */
export type RequestFingerprint = Branded<string, 'RequestFingerprint'>;
/** Name of one attempt to claim a key. */
type AttemptId = Branded<string, 'AttemptId'>;

/** An answer as it is kept. */
export type StoredAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[]>>;
	readonly bodyBase64: string;
};

type IdempotencyRecord = {
	readonly attempt: AttemptId;
	readonly fingerprint: RequestFingerprint;
	readonly createdAt: WallMs;
	readonly state: 'pending' | 'answered' | 'tooLarge';
	readonly answer?: StoredAnswer;
};

/** A claimed key. */
export type Claim = {readonly name: RecordName; readonly record: IdempotencyRecord; readonly version: ResourceVersion};

/** Outcome of a claim: the call may be sent, or it was answered before. */
export type ClaimOutcome = {readonly type: 'claimed'; readonly claim: Claim} | {readonly type: 'replayed'; readonly answer: StoredAnswer};

/** Largest body that a record holds, in bytes: base64 makes it a third longer, and a value has at most 1 MB. */
export const largestStoredBody = 650_000;
/** How long a record is kept, in milliseconds. */
export const retentionMs = 86_400_000;

const collection = 'idempotencyrecords';
const maximumTries = 3;
const removalIntervalMs = 60_000;
const highestNotedRecords = 100_000;

/** What the records need. */
export type IdempotencyRecordsOptions = {readonly objectApi: ObjectApi; readonly clock: Clock; readonly metrics: RequestMetrics};

/** Idempotency records as one instance sees them. */
export class IdempotencyRecords {
	/** Records created here, oldest first, for their removal. */
	private readonly created: Array<{name: RecordName; createdAt: WallMs}> = [];

	constructor(private readonly options: IdempotencyRecordsOptions) {}

	/**
	 * Claims `name`. Throws `idempotencyMismatch`, `idempotencyConflict`, or `storeUnavailable` when the store cannot be asked;
	 * in the last case nothing was sent, so the call did not run.
	 */
	async claim(name: RecordName, fingerprint: RequestFingerprint): Promise<ClaimOutcome> {
		const record: IdempotencyRecord = {
			attempt: randomUUID() as AttemptId, fingerprint, createdAt: this.options.clock.readWall(), state: 'pending',
		};
		try {
			const outcome = await this.claimRecord(name, record);
			this.options.metrics.idempotency.inc({outcome: outcome.type});
			return outcome;
		} catch (error) {
			const failure = error instanceof RouterError ? error : convertStoreError(error);
			if (failure.entry.name === 'storeUnavailable') {
				void this.releaseAttempt(name, record);
			}

			this.options.metrics.idempotency.inc({outcome: failure.entry.name});
			throw failure;
		}
	}

	/** Stores the answer, or that it was too large. A failure leaves the record without an answer, which is still true. */
	async finish(claim: Claim, answer: StoredAnswer | 'tooLarge'): Promise<boolean> {
		const record: IdempotencyRecord = answer === 'tooLarge' ? {...claim.record, state: 'tooLarge'} : {...claim.record, state: 'answered', answer};
		try {
			await this.options.objectApi.update(collection, claim.name, record, claim.version);
			return true;
		} catch (error) {
			if (error instanceof ObjectApiError && error.failure === 'tooLarge' && answer !== 'tooLarge') {
				return this.finish(claim, 'tooLarge');
			}

			return this.readBack(claim, record.state);
		}
	}

	/** Gives the key back after a call that provably did not run. */
	async release(claim: Claim): Promise<void> {
		try {
			await this.options.objectApi.remove(collection, claim.name, claim.version);
		} catch {
			// The key stays blocked until the record expires; that is safe.
		}
	}

	/** Removes records created here that are older than the retention at `now`; returns how many. */
	async removeExpired(now: WallMs): Promise<number> {
		let removed = 0;
		while (this.created[0] !== undefined && isExpired(this.created[0].createdAt, now)) {
			const {name} = this.created.shift()!;
			removed += await this.removeRecord(name, now) ? 1 : 0;
		}

		return removed;
	}

	/** Removes expired records of any instance, such as one that crashed; returns how many. */
	async removeOrphans(now: WallMs): Promise<number> {
		let removed = 0;
		const {items} = await this.options.objectApi.list<IdempotencyRecord>(collection);
		for (const {name, value} of items) {
			if (isExpired(value.createdAt, now)) {
				removed += await this.removeRecord(name as RecordName, now) ? 1 : 0;
			}
		}

		return removed;
	}

	/** Removes expired records until `signal` aborts: own ones each minute, orphans once per retention at a random time. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.options;
		let orphansDueAt = clock.readMonotonic() + (Math.random() * retentionMs);
		while (!signal.aborted) {
			await clock.sleep(removalIntervalMs * (0.5 + Math.random()), signal);
			try {
				await this.removeExpired(clock.readWall());
				if (clock.readMonotonic() >= orphansDueAt) {
					orphansDueAt = clock.readMonotonic() + retentionMs;
					await this.removeOrphans(clock.readWall());
				}
			} catch {
				// The store is down; the next round goes on.
			}
		}
	}

	private async claimRecord(name: RecordName, record: IdempotencyRecord): Promise<ClaimOutcome> {
		for (let attempt = 1; ; attempt += 1) {
			try {
				const stored = await this.options.objectApi.create(collection, name, record);
				return this.acceptClaim(name, record, stored.resourceVersion);
			} catch (error) {
				const failure = error instanceof ObjectApiError ? error.failure : undefined;
				if (failure !== 'conflict' && failure !== 'unknownOutcome') {
					throw error;
				}

				const outcome = await this.readClaim(name, record);
				if (outcome !== undefined) {
					return outcome;
				}

				if (attempt === maximumTries) {
					throw error;
				}

				await this.options.clock.sleep(calculateBackoff(attempt, Math.random()));
			}
		}
	}

	/** Reads the record after a create that conflicted or whose answer was lost; nothing when there is no record to go by. */
	private async readClaim(name: RecordName, record: IdempotencyRecord): Promise<ClaimOutcome | undefined> {
		const stored = await this.find(name);
		if (stored === undefined) {
			return undefined;
		}

		if (stored.value.attempt === record.attempt) {
			return this.acceptClaim(name, record, stored.resourceVersion);
		}

		if (isExpired(stored.value.createdAt, record.createdAt)) {
			await this.removeRecord(name, record.createdAt);
			return undefined;
		}

		return replay(stored.value, record.fingerprint);
	}

	private acceptClaim(name: RecordName, record: IdempotencyRecord, version: ResourceVersion): ClaimOutcome {
		this.created.push({name, createdAt: record.createdAt});
		if (this.created.length > highestNotedRecords) {
			// The orphan removal finds it.
			this.created.shift();
		}

		return {type: 'claimed', claim: {name, record, version}};
	}

	/** Removes the record of a claim whose outcome stayed unknown; its call was refused, so the key must not stay blocked. */
	private async releaseAttempt(name: RecordName, record: IdempotencyRecord): Promise<void> {
		try {
			const stored = await this.find(name);
			if (stored?.value.attempt === record.attempt) {
				await this.options.objectApi.remove(collection, name, stored.resourceVersion);
			}
		} catch {
			// The key stays blocked until the record expires; that is safe.
		}
	}

	private async readBack(claim: Claim, state: IdempotencyRecord['state']): Promise<boolean> {
		try {
			const stored = await this.find(claim.name);
			return stored?.value.attempt === claim.record.attempt && stored.value.state === state;
		} catch {
			return false;
		}
	}

	private async removeRecord(name: RecordName, now: WallMs): Promise<boolean> {
		const stored = await this.find(name);
		if (stored === undefined || !isExpired(stored.value.createdAt, now)) {
			return false;
		}

		await this.options.objectApi.remove(collection, name, stored.resourceVersion);
		return true;
	}

	private async find(name: RecordName): Promise<StoredObject<IdempotencyRecord> | undefined> {
		try {
			return await this.options.objectApi.get<IdempotencyRecord>(collection, name);
		} catch (error) {
			if (error instanceof ObjectApiError && error.failure === 'notFound') {
				return undefined;
			}

			throw error;
		}
	}
}

/** Hashes organisation, route and key into the name of a record. */
export function hashRecordName(organisation: OrganisationId, route: RouteId, key: string): RecordName {
	return createHash('sha256').update(JSON.stringify([organisation, route, key])).digest('hex') as RecordName;
}

/** Hashes what a call asks for. */
export function hashRequest(method: string, path: string, contentType: string | undefined, body: Buffer): RequestFingerprint {
	return createHash('sha256').update(JSON.stringify([method, path, contentType ?? ''])).update(body).digest('hex') as RequestFingerprint;
}

function replay(record: IdempotencyRecord, fingerprint: RequestFingerprint): ClaimOutcome {
	if (record.fingerprint !== fingerprint) {
		throw createRouterError('idempotencyMismatch');
	}

	if (record.state === 'tooLarge') {
		throw createRouterError('idempotencyConflict', 'the call ran; its answer was too large to be kept');
	}

	if (record.answer === undefined) {
		throw createRouterError('idempotencyConflict', undefined, {retryAfterSeconds: 1});
	}

	return {type: 'replayed', answer: record.answer};
}

function isExpired(createdAt: WallMs, now: WallMs): boolean {
	return now - createdAt > retentionMs;
}

function convertStoreError(error: unknown): RouterError {
	return createRouterError('storeUnavailable', (error as Error).message, {cause: error as Error, retryAfterSeconds: 1});
}
