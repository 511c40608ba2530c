/**
 * A lease in the object API: at most one holder at a time, told apart by a fencing number.
 *
 * A taker has to see the record unchanged for the record's duration on its own monotonic clock,
 * with every read in between answered. The holder counts its validity from the moment it sent the
 * last confirmed write, which is earlier than any moment at which a taker can have seen that write.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {
	FencingNumber, Incarnation, MonotonicMs, ResourceVersion,
} from '../../identity/ids/index.js';
import {ObjectApiError, type ObjectApi, type StoredObject} from '../../store/object-api/index.js';

/** Collection of all leases. */
export const leaseCollection = 'leases';

/** Value of a lease object. */
export type LeaseRecord = {
	/** Empty when the lease was released. */
	readonly holder: string;
	readonly incarnation: Incarnation;
	/** Number of the tenure; the next holder's is one higher. */
	readonly fencing: FencingNumber;
	/** Differs from write to write of one tenure. */
	readonly renewals: number;
	readonly durationMs: number;
	/** In a released record: time for which the last holder had not used the lease, in milliseconds. */
	readonly unusedMs?: number;
};

/** What a lease is made of. */
export type LeaseOptions = {
	readonly objectApi: Pick<ObjectApi, 'get' | 'create' | 'update'>;
	readonly clock: Clock;
	/** Name of the object in the collection `leases`. */
	readonly name: string;
	/** Who takes the lease; one name lives on over incarnations. */
	readonly holder: string;
	readonly incarnation: Incarnation;
	readonly durationMs: number;
	/**
	 * Whether a record of the same holder with another incarnation is taken at once. Only safe where
	 * something else, such as a listen address, proves that the earlier incarnation is gone.
	 */
	readonly succeedsOwnHolder?: boolean;
	/** Longest time between two reads that still counts as a reachable store; a quarter of the record's duration by default. */
	readonly maximumReadGapMs?: number;
};

type Observation = {readonly record: LeaseRecord; readonly since: MonotonicMs; readAt: MonotonicMs};
type Confirmed = {readonly record: LeaseRecord; readonly version: ResourceVersion; readonly sentAt: MonotonicMs};

/** One contender for a lease. `acquire` and `renew` are called again and again by one task. */
export class Lease {
	private confirmed: Confirmed | undefined;
	private observation: Observation | undefined;
	private hasHeld = false;
	private predecessor: LeaseRecord | undefined;
	private writes = 0;
	/** Sending time of each write that is not known to have failed, by its number of renewals. */
	private readonly sentTimes = new Map<number, MonotonicMs>();

	constructor(private readonly options: LeaseOptions) {}

	/** Whether the lease is held at `now`; to be asked immediately before each use. */
	isHeld(now: MonotonicMs): boolean {
		return this.confirmed !== undefined && now < this.confirmed.sentAt + this.confirmed.record.durationMs;
	}

	/** When the validity ends; undefined when the lease is not held by this contender. */
	readExpiry(): MonotonicMs | undefined {
		return this.confirmed === undefined ? undefined : this.confirmed.sentAt + this.confirmed.record.durationMs as MonotonicMs;
	}

	/** Fencing number of the current tenure, or undefined when there is none. */
	readFencing(): FencingNumber | undefined {
		return this.confirmed?.record.fencing;
	}

	/** Record that the current tenure replaced; undefined for the first one. */
	readPredecessor(): LeaseRecord | undefined {
		return this.predecessor;
	}

	/** Reads the record once and takes the lease if that is allowed by now. Resolves to whether it is held. */
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
		return this.canTake(object.value) && this.writeRecord(object.resourceVersion, this.buildRecord(object.value.fencing + 1));
	}

	/**
	 * Confirms the tenure with one write. Resolves to false when another contender has the lease;
	 * rejects with `ObjectApiError` when the outcome is not known, and the validity then runs on
	 * unchanged.
	 */
	async renew(): Promise<boolean> {
		if (this.confirmed === undefined) {
			return false;
		}

		return this.writeRecord(this.confirmed.version, this.buildRecord(this.confirmed.record.fencing));
	}

	/**
	 * Gives the lease up, so that others need not wait. The validity ends before the write is sent.
	 * `unusedMs` tells the next holder how long ago the lease was last used.
	 */
	async release(unusedMs = 0): Promise<void> {
		const {confirmed} = this;
		if (confirmed === undefined) {
			return;
		}

		this.confirmed = undefined;
		const {objectApi, name} = this.options;
		await objectApi.update(leaseCollection, name, {
			...confirmed.record, holder: '', renewals: this.writes + 1, unusedMs,
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

	/** Whether the observed record has been unchanged for long enough, or needs no observation. */
	private canTake(record: LeaseRecord): boolean {
		const {clock, holder, succeedsOwnHolder, maximumReadGapMs} = this.options;
		if (record.holder === '' || (record.holder === holder && succeedsOwnHolder === true && !this.hasHeld)) {
			return true;
		}

		const now = clock.readMonotonic();
		const seen = this.observation;
		if (seen === undefined || !isSameWrite(seen.record, record) || now - seen.readAt > (maximumReadGapMs ?? record.durationMs / 4)) {
			this.observation = {record, since: now, readAt: now};
			return false;
		}

		seen.readAt = now;
		return now - seen.since > record.durationMs;
	}

	private async writeRecord(version: ResourceVersion | undefined, record: LeaseRecord): Promise<boolean> {
		const {objectApi, name, clock} = this.options;
		this.sentTimes.set(record.renewals, clock.readMonotonic());
		try {
			const object = version === undefined
				? await objectApi.create(leaseCollection, name, record)
				: await objectApi.update(leaseCollection, name, record, version);
			return this.confirm(object);
		} catch (error) {
			if (!(error instanceof ObjectApiError)) {
				throw error;
			}

			return this.readBack(error);
		}
	}

	/** Finds out what became of a write without a usable answer. An earlier write may have landed late, so its own number counts. */
	private async readBack(error: ObjectApiError): Promise<boolean> {
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
		const sentAt = this.sentTimes.get(renewals);
		if (sentAt === undefined) {
			throw new ObjectApiError('conflict', `${object.collection}/${object.name} holds a write that this contender never sent`);
		}

		this.confirmed = {record: object.value, version: object.resourceVersion, sentAt};
		this.hasHeld = true;
		this.observation = undefined;
		for (const number of this.sentTimes.keys()) {
			if (number < renewals) {
				this.sentTimes.delete(number);
			}
		}

		return true;
	}

	private isOwn(record: LeaseRecord): boolean {
		return record.holder === this.options.holder && record.incarnation === this.options.incarnation;
	}

	private buildRecord(fencing: number): LeaseRecord {
		const {holder, incarnation, durationMs} = this.options;
		this.writes += 1;
		return {
			holder, incarnation, fencing: fencing as FencingNumber, renewals: this.writes, durationMs,
		};
	}
}

function isSameWrite(a: LeaseRecord, b: LeaseRecord): boolean {
	return a.holder === b.holder && a.incarnation === b.incarnation && a.fencing === b.fencing && a.renewals === b.renewals;
}
