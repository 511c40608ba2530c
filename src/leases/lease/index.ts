/**
 * Lease stored in the object API. It has at most one holder at a time, and its fencing number
 * distinguishes successive holders.
 *
 * A contender may acquire the lease after it has seen the record unchanged for the record's duration on
 * its own monotonic clock, with every read in between answered. The holder measures the validity from the
 * time it sent the last confirmed write, which precedes any time at which a contender can have read it.
 *
 * If the object API was ever restored from a copy, a missing or older record says nothing about the present holder. A
 * missing record is then observed for the duration as well, and fencing numbers begin anew above those of all eras before.
 * A record is judged by the era that its own answer names. A peer may have relayed that answer, and this instance may not have
 * heard from the object API since the restore.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {
	FencingNumber, Incarnation, MonotonicMs, ResourceVersion,
} from '../../identity/ids/index.js';
import {parseVersion} from '../../store/object-version/index.js';
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
	/**
	 * Time after this write for which the holder still may not use the lease, because earlier holders on other machines may have used
	 * it shortly before. Instances of earlier releases don't write it.
	 */
	readonly pauseMs?: number;
	/** Number of processes of the holder in succession that replaced an earlier one and have not renewed the lease since; 0 by default. */
	readonly replacements?: number;
	/** Era in which the record was written, if it is above 0. A record of an earlier era than the object API's comes from a copy. */
	readonly era?: number;
};

/** Options of `Lease`. */
export type LeaseOptions = {
	readonly objectApi: Pick<ObjectApi, 'get' | 'create' | 'update' | 'readEra'>;
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
	/** Returns how long a new holder waits before its first use of a lease that another holder had, in milliseconds. No time by default. */
	readonly calculatePauseMs?: (predecessor: LeaseRecord) => number;
	/** Longest time between two reads for which the store counts as continuously reachable; a quarter of the record's duration by default. */
	readonly maximumReadGapMs?: number;
};

/** Range of fencing numbers of one era. */
const fencingNumbersPerEra = 1_000_000;

/**
 * Number of processes in succession that may replace an earlier one of their machine at once without a renewal. After that, the
 * record stays unchanged for its duration, so that another machine can acquire the lease.
 */
const maximumReplacements = 2;

/** Record seen by a contender without the lease, or undefined for a missing one; unchanged from `since` to `lastReadAt`. */
type Observation = {readonly record: LeaseRecord | undefined; readonly era: number; readonly since: MonotonicMs; lastReadAt: MonotonicMs};
/** For how long a record has to be observed, and the longest time between two reads, in milliseconds. */
type ObservationTerms = {readonly durationMs: number; readonly maximumGapMs: number};
type ConfirmedWrite = {readonly record: LeaseRecord; readonly version: ResourceVersion; readonly sentAt: MonotonicMs};

/** One contender for a lease. A single task calls `acquire` and `renew` repeatedly. */
export class Lease {
	private confirmed: ConfirmedWrite | undefined;
	private observation: Observation | undefined;
	private hasEverHeld = false;
	private predecessor: LeaseRecord | undefined;
	private usableFrom = 0 as MonotonicMs;
	private replacements = 0;
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

	/** Time from which the holder may use the lease, since no earlier holder on another machine can have used it shortly before. */
	readUsableFrom(): MonotonicMs {
		return this.usableFrom;
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
			const era = this.options.objectApi.readEra();
			if (!this.canCreate(era)) {
				return false;
			}

			this.usableFrom = this.calculateUsableFrom(this.predecessor && this.options.calculatePauseMs?.(this.predecessor));
			return this.writeRecord(undefined, this.buildRecord(chooseFencing(0, era), era));
		}

		if (this.isLastWrite(object.value) && !this.isVoid(object)) {
			this.confirm(object);
			return this.renew();
		}

		this.sentAtByRenewals.clear();
		this.predecessor = object.value;
		const era = readObjectEra(object);
		if (!this.canAcquire(object.value, era)) {
			return false;
		}

		this.usableFrom = this.calculateUsableFrom(this.readPauseMs(object.value, era));
		this.replacements = object.value.holder === this.options.holder ? (object.value.replacements ?? 0) + 1 : 0;
		return this.writeRecord(object.resourceVersion, this.buildRecord(chooseFencing(object.value.fencing, era), era));
	}

	/**
	 * Renews the lease with one write. Resolves to false when this contender doesn't hold the lease. Rejects
	 * with `ObjectApiError` when it can't confirm the renewal; the validity then stays as it was.
	 */
	async renew(): Promise<boolean> {
		const {confirmed} = this;
		if (confirmed === undefined) {
			return false;
		}

		const {era} = parseVersion(confirmed.version);
		this.replacements = 0;
		return this.writeRecord(confirmed.version, this.buildRecord(confirmed.record.fencing, era));
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

	/** Whether the lease may be acquired: the record, read in `era`, has been unchanged for its duration, or no wait is needed. */
	private canAcquire(record: LeaseRecord, era: number): boolean {
		const {clock, holder, maximumReadGapMs} = this.options;
		const isFree = record.holder === '' || (record.holder === holder && this.mayReplace(record));
		if (isFree && (record.era ?? 0) === era) {
			return true;
		}

		return this.hasStayed(record, era, {durationMs: record.durationMs, maximumGapMs: maximumReadGapMs ?? record.durationMs / 4}, clock.readMonotonic());
	}

	/** Whether the record of an earlier process of this machine may be replaced at once. */
	private mayReplace({replacements = 0}: LeaseRecord): boolean {
		return this.options.mayReplaceEarlierIncarnation === true && !this.hasEverHeld && replacements < maximumReplacements;
	}

	/**
	 * Returns the pause before the first use of a lease whose record, read in `era`, is replaced. An earlier process of the same
	 * machine leaves only what remained of its own pause.
	 */
	private readPauseMs(predecessor: LeaseRecord, era: number): number | undefined {
		const {holder, calculatePauseMs} = this.options;
		const isOfSameMachine = predecessor.holder === holder && (predecessor.era ?? 0) === era;
		return (isOfSameMachine ? predecessor.pauseMs : undefined) ?? calculatePauseMs?.(predecessor);
	}

	private calculateUsableFrom(pauseMs = 0): MonotonicMs {
		return this.options.clock.readMonotonic() + pauseMs as MonotonicMs;
	}

	/** Whether a record that is missing in `era` may be created: there was never one, or it has been missing for its duration. */
	private canCreate(era: number): boolean {
		const {durationMs, maximumReadGapMs, clock} = this.options;
		return era === 0 || this.hasStayed(undefined, era, {durationMs, maximumGapMs: maximumReadGapMs ?? durationMs / 4}, clock.readMonotonic());
	}

	/** Whether the record has been seen unchanged in one era for `durationMs`, without a gap between two reads of more than `maximumGapMs`. */
	private hasStayed(record: LeaseRecord | undefined, era: number, {durationMs, maximumGapMs}: ObservationTerms, now: MonotonicMs): boolean {
		const previous = this.observation;
		if (previous?.era !== era || !isSameWrite(previous.record, record) || now - previous.lastReadAt > maximumGapMs) {
			this.observation = {
				record, era, since: now, lastReadAt: now,
			};
			return false;
		}

		previous.lastReadAt = now;
		return now - previous.since > durationMs;
	}

	private async writeRecord(version: ResourceVersion | undefined, record: LeaseRecord): Promise<boolean> {
		const {objectApi, name, clock} = this.options;
		this.sentAtByRenewals.set(record.renewals, clock.readMonotonic());
		try {
			const object = version === undefined
				? await objectApi.create(leaseCollection, name, record)
				: await objectApi.update(leaseCollection, name, record, version);
			if (this.isVoid(object)) {
				this.sentAtByRenewals.clear();
				return false;
			}

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
		if (object !== undefined && this.isLastWrite(object.value) && !this.isVoid(object)) {
			const isNew = object.value.renewals !== this.confirmed?.record.renewals;
			this.confirm(object);
			if (!isNew) {
				throw error;
			}

			return this.isHeld(this.options.clock.readMonotonic());
		}

		this.confirmed = undefined;
		if (object !== undefined) {
			// The condition of no earlier write can hold any more, and a restore must not bring it back to life.
			this.sentAtByRenewals.clear();
		}

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

	/** Whether the record is a write of this contender that no confirmed write has replaced; a restore may bring older ones back. */
	private isLastWrite(record: LeaseRecord): boolean {
		return this.isOwn(record) && this.sentAtByRenewals.has(record.renewals);
	}

	/**
	 * Whether the record of this contender was stored in another era than it was written for, and the lease isn't held: another
	 * holder's record may have been lost in between.
	 */
	private isVoid(object: StoredObject<LeaseRecord>): boolean {
		const isOfOtherEra = (object.value.era ?? 0) !== readObjectEra(object);
		return isOfOtherEra && !this.isHeld(this.options.clock.readMonotonic());
	}

	private buildRecord(fencing: number, era: number): LeaseRecord {
		const {holder, incarnation, durationMs, clock} = this.options;
		const pauseMs = Math.max(0, Math.ceil(this.usableFrom - clock.readMonotonic()));
		this.writeCount += 1;
		return {
			holder, incarnation, fencing: fencing as FencingNumber, renewals: this.writeCount, durationMs, pauseMs,
			...(this.replacements > 0 && {replacements: this.replacements}), ...(era > 0 && {era}),
		};
	}
}

/** Returns the era of the answer that an object came in. */
function readObjectEra({resourceVersion}: StoredObject): number {
	return parseVersion(resourceVersion).era;
}

/** Chooses the fencing number of a new holder: above that of the last record and those of all eras before `era`. */
function chooseFencing(previous: number, era: number): number {
	return Math.max(previous, era * fencingNumbersPerEra) + 1;
}

function isSameWrite(a: LeaseRecord | undefined, b: LeaseRecord | undefined): boolean {
	if (a === undefined || b === undefined) {
		return a === b;
	}

	return a.holder === b.holder && a.incarnation === b.incarnation && a.fencing === b.fencing && a.renewals === b.renewals;
}
