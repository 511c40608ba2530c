/**
 * Keeps this instance's lease and its place in the ledger: claims parts, gives them up, frees the
 * parts of dead owners. One task calls `step` about once a second; nothing here is called twice at
 * the same time.
 *
 * Two rules keep a part from having two owners. Parts are used only under a tenure that was
 * written to the ledger after the lease was taken, so that a ledger write that an earlier taker
 * left behind conflicts. And parts are freed only by their owner or by the holder of its lease.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {
	FencingNumber, Incarnation, InstanceId, MonotonicMs,
} from '../../identity/ids/index.js';
import {Lease} from '../../leases/lease/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {MemberView} from '../../membership/member/index.js';
import type {ObjectApi} from '../../store/object-api/index.js';
import {
	BudgetLedger, findSlot, freePart, newPart, removeOwner, selectHandovers, scoreCandidate, type LedgerOwner, type LedgerRecord, type LedgerSnapshot,
	type PartHandover,
} from '../budget-ledger/index.js';
import type {BudgetOwner} from '../budget-owner/index.js';
import type {BudgetTimings} from '../budget-timings/index.js';
import {planLedger, type LedgerPlan} from '../plan-ledger/index.js';

/** Instances that watch a dead owner's lease, so that store calls do not grow with the fleet. */
const watcherCount = 2;
const handOverAttempts = 5;

/** What a tenure needs. */
export type BudgetTenureOptions = {
	readonly self: InstanceId;
	readonly incarnation: Incarnation;
	readonly objectApi: ObjectApi;
	readonly clock: Clock;
	readonly members: MemberView;
	readonly owner: BudgetOwner;
	readonly timings: BudgetTimings;
	readonly logger: EventLogger;
};

/** Lease and ledger entry of one instance. */
export class BudgetTenure {
	private readonly lease: Lease;
	private readonly ledger: BudgetLedger;
	/** The latest ledger known, from the store or from a peer; for finding owners. */
	private known: LedgerRecord | undefined;
	private fencing: FencingNumber | undefined;
	private isShared = false;
	/** Whether another instance has asked for tokens, which it may have to wait for until `isShared`. */
	private isAskedByPeers = false;
	private nextRenewalAt = 0;
	private nextLedgerAt = 0;
	private isLeaving = false;
	private isStoreDown = false;
	/** Set while a write of this instance may still take effect unseen; no part is adopted until the version moves. */
	private hasPendingWrite = false;
	/** States of parts that this tenure stopped using for a write that failed. */
	private readonly withdrawn = new Map<number, PartHandover>();
	private readonly contenders = new Map<string, Lease>();
	private readonly freeSince = new Map<number, MonotonicMs>();
	private readonly givenUpAt = new Map<number, MonotonicMs>();

	constructor(private readonly options: BudgetTenureOptions) {
		const {objectApi, clock, self, incarnation, timings} = options;
		this.lease = new Lease({
			objectApi, clock, name: formatLeaseName(self), holder: self, incarnation, durationMs: timings.leaseMs, succeedsOwnHolder: true,
		});
		this.ledger = new BudgetLedger(objectApi, incarnation);
	}

	/** Whether the owned parts may be used at `now`; asked immediately before each use. */
	isOwner(now: MonotonicMs): boolean {
		return this.fencing !== undefined && this.lease.isHeld(now + this.options.timings.leaseMarginMs as MonotonicMs);
	}

	/** Whether tokens may be granted to other instances: the ledger says so, so that a successor will wait for their end. */
	canGrantToPeers(): boolean {
		return this.isShared;
	}

	/** Enters in the ledger at the next step that tokens are granted to other instances. */
	requestSharing(): void {
		this.isAskedByPeers = true;
		this.nextLedgerAt = 0;
	}

	/** Whether the next step should come soon: a ledger write met a conflict, or a newer ledger is known. */
	hasWork(): boolean {
		return !this.isStoreDown && !this.isLeaving && this.nextLedgerAt === 0;
	}

	readLedger(): LedgerRecord | undefined {
		return this.known;
	}

	readRevision(): number {
		return this.known?.revision ?? 0;
	}

	/** Notes a ledger that a peer knows. It serves to find owners; ownership follows the store alone. */
	noteLedger(record: LedgerRecord): void {
		if (record.revision > this.readRevision()) {
			this.known = record;
			this.nextLedgerAt = 0;
		}
	}

	/** Notes that a peer knows this revision; a newer one is read in the next step. Returns whether it is newer. */
	noteRevision(revision: number): boolean {
		const isNewer = revision > this.readRevision();
		if (isNewer) {
			this.nextLedgerAt = 0;
		}

		return isNewer;
	}

	/** Renews the lease, reads the ledger and acts on it, as far as due. */
	async step(): Promise<void> {
		try {
			await this.keepLease();
			await this.followLedger();
			this.markStore(false);
		} catch (error) {
			this.markStore(true, (error as Error).message);
		}
	}

	/** Stops using all parts and frees them in the ledger, then gives up the lease. */
	async handOver(): Promise<void> {
		const {
			owner, clock, self, incarnation, logger,
		} = this.options;
		this.isLeaving = true;
		const now = clock.readMonotonic();
		const isOwner = this.isOwner(now);
		const handovers = Object.fromEntries(owner.listParts().map(part => [part, owner.describePart(part, now)]));
		owner.clearParts();
		this.fencing = undefined;
		try {
			let outcome = isOwner ? 'conflict' : 'none';
			for (let attempt = 0; outcome === 'conflict' && attempt < handOverAttempts; attempt += 1) {
				const snapshot = await this.ledger.read();
				const own = selectHandovers(snapshot.record, {self, incarnation}, handovers);
				const result = await this.ledger.write(snapshot, removeOwner(snapshot.record, self, own));
				outcome = result.outcome;
				this.known = result.snapshot?.record ?? this.known;
				logger.info('budget parts handed over', {outcome});
			}

			await this.lease.release();
		} catch (error) {
			logger.warn('budget parts not handed over', {reason: (error as Error).message});
		}
	}

	dump(now: MonotonicMs): unknown {
		const expiry = this.lease.readExpiry();
		return {
			isOwner: this.isOwner(now), fencing: this.fencing, leaseLeftMs: expiry === undefined ? 0 : expiry - now,
			ledgerRevision: this.readRevision(), hasPendingWrite: this.hasPendingWrite, watchedLeases: [...this.contenders.keys()],
		};
	}

	private async keepLease(): Promise<void> {
		const {clock, timings, owner, logger} = this.options;
		const now = clock.readMonotonic();
		if (this.isLeaving || (now < this.nextRenewalAt && this.lease.isHeld(now))) {
			return;
		}

		const isHeld = await this.lease.acquire();
		if (!isHeld || this.lease.readFencing() !== this.fencing) {
			owner.clearParts();
			this.withdrawn.clear();
			this.fencing = undefined;
		}

		if (isHeld) {
			this.nextRenewalAt = now + timings.renewIntervalMs;
			if (this.fencing === undefined) {
				this.nextLedgerAt = 0;
				logger.info('budget lease acquired', {fencing: this.lease.readFencing()});
			}
		} else {
			logger.warn('budget lease not held', {});
		}
	}

	private async followLedger(): Promise<void> {
		const {clock, timings} = this.options;
		const now = clock.readMonotonic();
		if (this.isLeaving || now < this.nextLedgerAt) {
			return;
		}

		let snapshot = await this.ledger.read();
		this.nextLedgerAt = now + timings.ledgerIntervalMs;
		if (this.lease.isHeld(clock.readMonotonic())) {
			snapshot = await this.writePlan(snapshot);
		}

		this.applyLedger(snapshot.record, new Map());
		await this.watchDeadOwners(snapshot.record);
	}

	private async writePlan(snapshot: LedgerSnapshot): Promise<LedgerSnapshot> {
		const {owner, self, logger, timings, clock, members} = this.options;
		const plan = this.plan(snapshot.record);
		const now = clock.readMonotonic();
		if (plan === undefined || members.readSelf().state === 'leaving') {
			return snapshot;
		}

		const handovers: Record<string, PartHandover> = {};
		for (const part of plan.givenUp) {
			handovers[part] = owner.describePart(part, now);
			this.withdrawn.set(part, handovers[part]);
			owner.removePart(part);
			this.givenUpAt.set(findSlot(part), now);
		}

		const fencing = this.lease.readFencing();
		const result = await this.ledger.write(snapshot, {...plan.record, handovers: {...plan.record.handovers, ...handovers}});
		if (result.outcome !== 'written' || result.snapshot === undefined) {
			this.hasPendingWrite ||= result.outcome === 'unknown';
			this.nextLedgerAt = 0;
			return result.snapshot ?? snapshot;
		}

		this.hasPendingWrite = false;
		this.withdrawn.clear();
		this.isShared = plan.record.owners[self]?.isShared ?? false;
		if (this.fencing === undefined && fencing === this.lease.readFencing()) {
			this.fencing = fencing;
		}

		this.applyLedger(result.snapshot.record, this.collectStarts(snapshot.record));
		logger.info('budget ledger written', {
			revision: result.snapshot.record.revision, claimed: plan.claimed.length, given_up: plan.givenUp.length,
			parts: owner.listParts().length, wait_ms: timings.grantExpiryMs,
		});
		return result.snapshot;
	}

	/** States of the parts whose earlier grants are known, in the ledger before they were claimed. */
	private collectStarts(before: LedgerRecord): Map<number, PartHandover> {
		const starts = new Map<number, PartHandover>();
		const isUnshared = before.owners[this.options.self]?.isShared === false;
		for (const [part, owner] of before.parts.entries()) {
			const handover = before.handovers[part];
			if (owner === newPart) {
				starts.set(part, {level: 1, outstanding: 0});
			} else if (owner === freePart && handover !== undefined) {
				starts.set(part, handover);
			} else if (owner === this.options.self && isUnshared) {
				// All grants of the predecessor were to itself and ended with it.
				starts.set(part, {level: 0, outstanding: 0});
			}
		}

		return starts;
	}

	private plan(record: LedgerRecord): LedgerPlan | undefined {
		const {self, incarnation, members, clock, timings} = this.options;
		const now = clock.readMonotonic();
		const live = members.listLive(now).filter(member => member.state === 'live').map(member => member.id);
		const all = live.includes(self) ? live : [...live, self];
		// A part that was given up may have grants of its earlier owner among the peers.
		const isShared = this.isAskedByPeers || all.length > 1 || record.owners[self]?.isShared === true
			|| Object.keys(record.owners).some(id => id !== self) || record.parts.includes(freePart);
		const tenure: LedgerOwner = {incarnation, fencing: this.lease.readFencing() ?? 0 as FencingNumber, isShared};
		this.noteFreeParts(record, now);
		const plan = planLedger(record, {
			self, tenure, live: all,
			canGiveUp: slot => now - (this.givenUpAt.get(slot) ?? -timings.rebalanceMs) >= timings.rebalanceMs,
			isLeftOver: part => now - (this.freeSince.get(part) ?? now) > 2 * timings.ledgerIntervalMs,
		});
		const mustWrite = this.hasPendingWrite || (this.fencing === undefined && record.parts.includes(self));
		return plan ?? (mustWrite ? {record, claimed: [], givenUp: []} : undefined);
	}

	private noteFreeParts(record: LedgerRecord, now: MonotonicMs): void {
		for (const [part, owner] of record.parts.entries()) {
			if (owner !== freePart && owner !== newPart) {
				this.freeSince.delete(part);
			} else if (!this.freeSince.has(part)) {
				this.freeSince.set(part, now);
			}
		}
	}

	/** Brings the owned parts in line with a ledger read from the store. A part without a known start waits for the end of earlier grants. */
	private applyLedger(record: LedgerRecord, starts: ReadonlyMap<number, PartHandover>): void {
		const {self, incarnation, owner, clock, timings} = this.options;
		if (record.revision >= this.readRevision()) {
			this.known = record;
		}

		const entry = record.owners[self];
		const isMine = this.fencing !== undefined && entry?.incarnation === incarnation && entry.fencing === this.fencing;
		const now = clock.readMonotonic();
		for (const [part, id] of record.parts.entries()) {
			if (!isMine || id !== self) {
				owner.removePart(part);
			} else if (!owner.hasPart(part) && !this.hasPendingWrite) {
				const start = starts.get(part) ?? this.withdrawn.get(part);
				this.withdrawn.delete(part);
				const usableAt = start === undefined ? now + timings.grantExpiryMs : now;
				owner.addPart(part, {slot: findSlot(part), usableAt: usableAt as MonotonicMs, start: start ?? {level: 0, outstanding: 0}}, now);
			}
		}
	}

	/** Watches the leases of owners that seem dead and frees the parts of those that are. */
	private async watchDeadOwners(record: LedgerRecord): Promise<void> {
		const {members, clock, self} = this.options;
		const live = new Set(members.listLive(clock.readMonotonic()).map(member => member.id as string));
		const dead = Object.keys(record.owners).filter(id => id !== self && !live.has(id) && this.isWatcher(id, live));
		for (const id of this.contenders.keys()) {
			if (!dead.includes(id)) {
				this.contenders.delete(id);
			}
		}

		for (const id of dead) {
			await this.watchOwner(id);
		}
	}

	private isWatcher(dead: string, live: ReadonlySet<string>): boolean {
		const ranked = [...live, this.options.self].toSorted((a, b) => scoreCandidate(dead, a) - scoreCandidate(dead, b));
		return [...new Set(ranked)].slice(0, watcherCount).includes(this.options.self);
	}

	private async watchOwner(id: string): Promise<void> {
		const {objectApi, clock, self, incarnation, timings, logger} = this.options;
		const lease = this.contenders.get(id) ?? new Lease({
			objectApi, clock, name: formatLeaseName(id), holder: self, incarnation, durationMs: timings.takeoverMs,
		});
		this.contenders.set(id, lease);
		if (!await lease.acquire()) {
			return;
		}

		const snapshot = await this.ledger.read();
		if (snapshot.record.owners[id] !== undefined && lease.isHeld(clock.readMonotonic())) {
			const {outcome} = await this.ledger.write(snapshot, removeOwner(snapshot.record, id));
			logger.warn('budget parts of a dead owner freed', {owner: id, outcome});
			this.hasPendingWrite ||= outcome === 'unknown';
		}

		this.contenders.delete(id);
		this.nextLedgerAt = 0;
		await lease.release();
	}

	private markStore(isDown: boolean, reason?: string): void {
		if (isDown !== this.isStoreDown) {
			this.isStoreDown = isDown;
			this.options.logger.warn(isDown ? 'budget store calls fail' : 'budget store calls work again', {reason});
		}
	}
}

function formatLeaseName(instance: string): string {
	return `instance.${instance}`;
}
