/**
 * Lease stored in the object API. It has at most one holder at a time, and its fencing number
 * distinguishes successive holders.
 *
 * A contender may acquire the lease after it has seen the record unchanged for the record's duration on
 * its own monotonic clock, with every read in between answered. The holder measures the validity from the
 * time it sent the last confirmed write, which precedes any time at which a contender can have read it.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {
	FencingNumber, Incarnation, MonotonicMs, ResourceVersion,
} from '../../identity/ids/index.js';
import {ObjectApiError, type ObjectApi, type StoredObject} from '../../store/object-api/index.js';

/** Collection of the object API that contains all leases. */
export const leaseCollection = 'leases';

/** Value of a lease object. */
export type LeaseRecord = {
	/** Empty in a released record. */
	readonly holder: string;
	readonly incarnation: Incarnation;
	/** Increases by one with each new holder. */
	readonly fencing: FencingNumber;
	/** Number of the write; differs between all writes with the same fencing number. */
	readonly renewals: number;
	readonly durationMs: number;
	/** Time since the last holder used the lease; only in a released record. */
	readonly unusedMs?: number;
};

/** Options of `Lease`. */
export type LeaseOptions = {
	readonly objectApi: Pick<ObjectApi, 'get' | 'create' | 'update'>;
	readonly clock: Clock;
	/** Name of the object in `leaseCollection`. */
	readonly name: string;
	/** Name of the contender; the same for all its incarnations. */
	readonly holder: string;
	readonly incarnation: Incarnation;
	readonly durationMs: number;
	/**
	 * Whether a lease held by another incarnation of the same holder is acquired without waiting. Only safe
	 * where something else, such as a listen address, proves that the earlier incarnation is gone.
	 */
	readonly mayReplaceEarlierIncarnation?: boolean;
	/** Longest time between two reads for which the store counts as continuously reachable; a quarter of the record's duration by default. */
	readonly maximumReadGapMs?: number;
};

/** Record seen by a contender without the lease; unchanged from `since` to `lastReadAt`. */
type Observation = {readonly record: LeaseRecord; readonly since: MonotonicMs; lastReadAt: MonotonicMs};
type ConfirmedWrite = {readonly record: LeaseRecord; readonly version: ResourceVersion; readonly sentAt: MonotonicMs};

/** One contender for a lease. A single task calls `acquire` and `renew` repeatedly. */
export class Lease {
	private confirmed: ConfirmedWrite | undefined;
	private observation: Observation | undefined;
	private hasEverHeld = false;
	private predecessor: LeaseRecord | undefined;
	private writeCount = 0;
	/** Time at which each write that isn't known to have failed was sent, by the `renewals` of its record. */
	private readonly sentAtByRenewals = new Map<number, MonotonicMs>();

	constructor(private readonly options: LeaseOptions) {}

	/** Whether the lease is held at `now`. Call it immediately before each use. */
	isHeld(now: MonotonicMs): boolean {
		return this.confirmed !== undefined && now < this.confirmed.sentAt + this.confirmed.record.durationMs;
	}

	/** Time at which the validity of the last confirmed write ends; undefined when this contender has none. */
	readExpiry(): MonotonicMs | undefined {
		return this.confirmed === undefined ? undefined : this.confirmed.sentAt + this.confirmed.record.durationMs as MonotonicMs;
	}

	/** Fencing number of the last confirmed write; undefined when this contender has none. */
	readFencing(): FencingNumber | undefined {
		return this.confirmed?.record.fencing;
	}

	/** Record that was replaced when this contender acquired the lease; undefined if there was none. */
	readPredecessor(): LeaseRecord | undefined {
		return this.predecessor;
	}

	/** Reads the record once and acquires the lease if the record allows it. Renews a lease that is held. Resolves to whether it is held. */
	async acquire(): Promise<boolean> {
		if (this.confirmed !== undefined) {
			return this.renew();
		}

		const object = await this.readRecord();
		if (object === undefined) {
			return this.writeRecord(undefined, this.buildRecord(1));
		}

		if (this.isOwn(object.value)) {
			this.confirm(object);
			return this.renew();
		}

		this.predecessor = object.value;
		return this.canAcquire(object.value) && this.writeRecord(object.resourceVersion, this.buildRecord(object.value.fencing + 1));
	}

	/**
	 * Renews the lease with one write. Resolves to false when this contender doesn't hold the lease. Rejects
	 * with `ObjectApiError` when it can't confirm the renewal; the validity then stays as it was.
	 */
	async renew(): Promise<boolean> {
		if (this.confirmed === undefined) {
			return false;
		}

		return this.writeRecord(this.confirmed.version, this.buildRecord(this.confirmed.record.fencing));
	}

	/**
	 * Releases the lease, so that others can acquire it without waiting. The validity ends before the write is
	 * sent. `unusedMs` tells the next holder how long ago the lease was last used.
	 */
	async release(unusedMs = 0): Promise<void> {
		const {confirmed} = this;
		if (confirmed === undefined) {
			return;
		}

		this.confirmed = undefined;
		const {objectApi, name} = this.options;
		await objectApi.update(leaseCollection, name, {
			...confirmed.record, holder: '', renewals: this.writeCount + 1, unusedMs,
		}, confirmed.version);
	}

	private async readRecord(): Promise<StoredObject<LeaseRecord> | undefined> {
		try {
			return await this.options.objectApi.get<LeaseRecord>(leaseCollection, this.options.name);
		} catch (error) {
			if (error instanceof ObjectApiError && error.failure === 'notFound') {
				return undefined;
			}

			this.observation = undefined;
			throw error;
		}
	}

	/** Whether the lease may be acquired: the record has been unchanged for its duration, or no wait is needed. */
	private canAcquire(record: LeaseRecord): boolean {
		const {clock, holder, mayReplaceEarlierIncarnation, maximumReadGapMs} = this.options;
		if (record.holder === '' || (record.holder === holder && mayReplaceEarlierIncarnation === true && !this.hasEverHeld)) {
			return true;
		}

		const now = clock.readMonotonic();
		const previous = this.observation;
		if (previous === undefined || !isSameWrite(previous.record, record) || now - previous.lastReadAt > (maximumReadGapMs ?? record.durationMs / 4)) {
			this.observation = {record, since: now, lastReadAt: now};
			return false;
		}

		previous.lastReadAt = now;
		return now - previous.since > record.durationMs;
	}

	private async writeRecord(version: ResourceVersion | undefined, record: LeaseRecord): Promise<boolean> {
		const {objectApi, name, clock} = this.options;
		this.sentAtByRenewals.set(record.renewals, clock.readMonotonic());
		try {
			const object = version === undefined
				? await objectApi.create(leaseCollection, name, record)
				: await objectApi.update(leaseCollection, name, record, version);
			return this.confirm(object);
		} catch (error) {
			if (!(error instanceof ObjectApiError)) {
				throw error;
			}

			return this.resolveOutcome(error);
		}
	}

	/**
	 * Reads the record to find out the outcome of a write that failed or had no answer. An earlier write may have taken
	 * effect late, so the validity counts from the write that the record contains.
	 */
	private async resolveOutcome(error: ObjectApiError): Promise<boolean> {
		if (error.failure !== 'unknownOutcome' && error.failure !== 'conflict' && error.failure !== 'notFound') {
			throw error;
		}

		const object = await this.readRecord();
		if (object !== undefined && this.isOwn(object.value)) {
			const isNew = object.value.renewals !== this.confirmed?.record.renewals;
			this.confirm(object);
			if (!isNew) {
				throw error;
			}

			return this.isHeld(this.options.clock.readMonotonic());
		}

		this.confirmed = undefined;
		return false;
	}

	private confirm(object: StoredObject<LeaseRecord>): boolean {
		const {renewals} = object.value;
		const sentAt = this.sentAtByRenewals.get(renewals);
		if (sentAt === undefined) {
			throw new ObjectApiError('conflict', `${object.collection}/${object.name} contains a write that this contender never sent`);
		}

		this.confirmed = {record: object.value, version: object.resourceVersion, sentAt};
		this.hasEverHeld = true;
		this.observation = undefined;
		for (const renewal of this.sentAtByRenewals.keys()) {
			if (renewal < renewals) {
				this.sentAtByRenewals.delete(renewal);
			}
		}

		return true;
	}

	private isOwn(record: LeaseRecord): boolean {
		return record.holder === this.options.holder && record.incarnation === this.options.incarnation;
	}

	private buildRecord(fencing: number): LeaseRecord {
		const {holder, incarnation, durationMs} = this.options;
		this.writeCount += 1;
		return {
			holder, incarnation, fencing: fencing as FencingNumber, renewals: this.writeCount, durationMs,
		};
	}
}

function isSameWrite(a: LeaseRecord, b: LeaseRecord): boolean {
	return a.holder === b.holder && a.incarnation === b.incarnation && a.fencing === b.fencing && a.renewals === b.renewals;
}
