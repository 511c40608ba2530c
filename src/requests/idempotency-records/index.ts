/**
 * Records of calls with an idempotency key, in the object API. A conditional create claims the key before its call is
 * sent, and the response is stored in the record afterwards. A record without a response belongs to a call that is in
 * progress or whose outcome is unknown; its key cannot be claimed again before the record expires.
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

/** Name of a record: the hash of organisation, route and idempotency key. */
export type RecordName = Branded<string, 'RecordName'>;
/** Hash of method, path, content type and body of a call. */
export type RequestFingerprint = Branded<string, 'RequestFingerprint'>;
/** Unique ID of an attempt to claim a key. */
type AttemptId = Branded<string, 'AttemptId'>;

/** A response as it is stored in a record. */
export type StoredResponse = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[]>>;
	readonly bodyBase64: string;
};

type IdempotencyRecord = {
	readonly attempt: AttemptId;
	readonly fingerprint: RequestFingerprint;
	readonly createdAt: WallMs;
	readonly state: 'pending' | 'answered' | 'tooLarge';
	readonly answer?: StoredResponse;
};

/** A claimed key. */
export type Claim = {readonly name: RecordName; readonly record: IdempotencyRecord; readonly version: ResourceVersion};

/** Outcome of a claim: the call may be sent, or the stored response of an earlier call is returned. */
export type ClaimOutcome = {readonly type: 'claimed'; readonly claim: Claim} | {readonly type: 'replayed'; readonly answer: StoredResponse};

/** Maximum size of a body before base64 makes it a third longer; the object API limits a value to 1 MB. */
export const maximumStoredBodyBytes = 650_000;
/** Time after which a record expires. */
export const retentionMs = 86_400_000;

const collection = 'idempotencyrecords';
const maximumCreateAttempts = 3;
const removalIntervalMs = 60_000;
const maximumTrackedRecords = 100_000;

/** Dependencies of `IdempotencyRecords`. */
export type IdempotencyRecordsOptions = {readonly objectApi: ObjectApi; readonly clock: Clock; readonly metrics: RequestMetrics};

/** Claims, completes and removes idempotency records on behalf of one instance. */
export class IdempotencyRecords {
	/** Records created by this instance, oldest first; used to remove them when they expire. */
	private readonly created: Array<{name: RecordName; createdAt: WallMs}> = [];

	constructor(private readonly options: IdempotencyRecordsOptions) {}

	/**
	 * Claims `name`. Throws `idempotencyMismatch` if the key was used for a different request, `idempotencyConflict` if
	 * the earlier call has no stored response, and `storeUnavailable` if the store fails; the call was not sent then, so
	 * it did not run.
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

	/** Stores the response, or that it was too large; returns whether it was stored. A record whose update failed stays valid as `pending`. */
	async storeResponse(claim: Claim, response: StoredResponse | 'tooLarge'): Promise<boolean> {
		const record: IdempotencyRecord = response === 'tooLarge'
			? {...claim.record, state: 'tooLarge'}
			: {...claim.record, state: 'answered', answer: response};
		try {
			await this.options.objectApi.update(collection, claim.name, record, claim.version);
			return true;
		} catch (error) {
			if (error instanceof ObjectApiError && error.failure === 'tooLarge' && response !== 'tooLarge') {
				return this.storeResponse(claim, 'tooLarge');
			}

			return this.hasStoredState(claim, record.state);
		}
	}

	/** Removes the record of a call that did not run, so that its key can be used again. */
	async release(claim: Claim): Promise<void> {
		try {
			await this.options.objectApi.remove(collection, claim.name, claim.version);
		} catch {
			// The key stays blocked until the record expires, which is safe.
		}
	}

	/** Removes the expired records of this instance; returns their number. */
	async removeExpired(now: WallMs): Promise<number> {
		let removedCount = 0;
		while (this.created[0] !== undefined && isExpired(this.created[0].createdAt, now)) {
			const {name} = this.created.shift()!;
			removedCount += await this.removeRecord(name, now) ? 1 : 0;
		}

		return removedCount;
	}

	/** Removes the expired records of all instances, including those that crashed; returns their number. */
	async removeOrphans(now: WallMs): Promise<number> {
		let removedCount = 0;
		const {items} = await this.options.objectApi.list<IdempotencyRecord>(collection);
		for (const {name, value} of items) {
			if (isExpired(value.createdAt, now)) {
				removedCount += await this.removeRecord(name as RecordName, now) ? 1 : 0;
			}
		}

		return removedCount;
	}

	/** Removes expired records until `signal` aborts: its own about every minute, those of all instances once per `retentionMs`, starting at a random time. */
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
				// The store is unavailable; the next round tries again.
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

				const outcome = await this.resolveFailedCreate(name, record);
				if (outcome !== undefined) {
					return outcome;
				}

				if (attempt === maximumCreateAttempts) {
					throw error;
				}

				await this.options.clock.sleep(calculateBackoff(attempt, Math.random()));
			}
		}
	}

	/** Reads the record after a create that conflicted or whose outcome is unknown; returns undefined if the create should be tried again. */
	private async resolveFailedCreate(name: RecordName, record: IdempotencyRecord): Promise<ClaimOutcome | undefined> {
		const stored = await this.findRecord(name);
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

		return replayRecord(stored.value, record.fingerprint);
	}

	private acceptClaim(name: RecordName, record: IdempotencyRecord, version: ResourceVersion): ClaimOutcome {
		this.created.push({name, createdAt: record.createdAt});
		if (this.created.length > maximumTrackedRecords) {
			// `removeOrphans` removes this record after it expires.
			this.created.shift();
		}

		return {type: 'claimed', claim: {name, record, version}};
	}

	/** Removes the record, if any, of a claim whose outcome is unknown. Its call was refused, so the key must not stay blocked. */
	private async releaseAttempt(name: RecordName, record: IdempotencyRecord): Promise<void> {
		try {
			const stored = await this.findRecord(name);
			if (stored?.value.attempt === record.attempt) {
				await this.options.objectApi.remove(collection, name, stored.resourceVersion);
			}
		} catch {
			// The key stays blocked until the record expires, which is safe.
		}
	}

	/** Whether the record reached `state` although its update reported a failure. */
	private async hasStoredState(claim: Claim, state: IdempotencyRecord['state']): Promise<boolean> {
		try {
			const stored = await this.findRecord(claim.name);
			return stored?.value.attempt === claim.record.attempt && stored.value.state === state;
		} catch {
			return false;
		}
	}

	private async removeRecord(name: RecordName, now: WallMs): Promise<boolean> {
		const stored = await this.findRecord(name);
		if (stored === undefined || !isExpired(stored.value.createdAt, now)) {
			return false;
		}

		await this.options.objectApi.remove(collection, name, stored.resourceVersion);
		return true;
	}

	private async findRecord(name: RecordName): Promise<StoredObject<IdempotencyRecord> | undefined> {
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

export function hashRecordName(organisation: OrganisationId, route: RouteId, key: string): RecordName {
	return createHash('sha256').update(JSON.stringify([organisation, route, key])).digest('hex') as RecordName;
}

export function hashRequest(method: string, path: string, contentType: string | undefined, body: Buffer): RequestFingerprint {
	return createHash('sha256').update(JSON.stringify([method, path, contentType ?? ''])).update(body).digest('hex') as RequestFingerprint;
}

function replayRecord(record: IdempotencyRecord, fingerprint: RequestFingerprint): ClaimOutcome {
	if (record.fingerprint !== fingerprint) {
		throw createRouterError('idempotencyMismatch');
	}

	if (record.state === 'tooLarge') {
		throw createRouterError('idempotencyConflict', 'the call ran, but its response was too large to be stored');
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
