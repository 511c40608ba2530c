/**
 * Maintains this instance's lease and its entry in the ledger: claims parts and gives parts up. A single
 * task calls `step` about once a second; calls never overlap.
 *
 * Two rules prevent a part from having two owners. Parts are used only under a term that was written
 * to the ledger after the lease was acquired, so that a ledger write of an earlier lease holder that is
 * still in flight fails with a conflict. Parts are freed only by their owner or by the holder of its lease.
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
	BudgetLedger, findSlotOfPart, freePartMark, removeOwner, selectHandovers, type LedgerOwner, type LedgerRecord, type LedgerSnapshot, type PartHandover,
} from '../budget-ledger/index.js';
import type {BudgetOwner} from '../budget-owner/index.js';
import type {BudgetTimings} from '../budget-timings/index.js';
import {collectInitialStates} from '../collect-initial-states/index.js';
import {DeadOwnerWatcher} from '../dead-owner-watcher/index.js';
import {formatInstanceLease} from '../format-instance-lease/index.js';
import {PartHistory} from '../part-history/index.js';
import {planLedger, type LedgerPlan} from '../plan-ledger/index.js';

const maximumHandOverAttempts = 5;

/** Options of `PartOwnership`. */
export type PartOwnershipOptions = {
	readonly self: InstanceId;
	readonly incarnation: Incarnation;
	readonly objectApi: ObjectApi;
	readonly clock: Clock;
	readonly members: MemberView;
	readonly owner: BudgetOwner;
	readonly timings: BudgetTimings;
	readonly logger: EventLogger;
};

/** Maintains the lease and the ledger entry of one instance. */
export class PartOwnership {
	private readonly lease: Lease;
	private readonly ledger: BudgetLedger;
	/** Latest ledger known from the store or from a peer. It is used to find owners. */
	private latestLedger: LedgerRecord | undefined;
	/** Fencing number of the term that this instance wrote to the ledger; undefined when there is none. */
	private recordedFencing: FencingNumber | undefined;
	private isShared = false;
	/** Whether another instance has requested tokens. It may have to wait for them until `isShared` is set. */
	private hasPeerRequests = false;
	private nextRenewalAt = 0;
	private nextLedgerReadAt = 0;
	private isLeaving = false;
	private isStoreDown = false;
	/** Set while a write of unknown outcome may still take effect. No part is added until the ledger's version has changed. */
	private hasPendingWrite = false;
	/** States of parts that this term stopped using before a write that was not confirmed. */
	private readonly unconfirmedHandovers = new Map<number, PartHandover>();
	private readonly deadOwners: DeadOwnerWatcher;
	private readonly partHistory: PartHistory;

	constructor(private readonly options: PartOwnershipOptions) {
		const {
			objectApi, clock, self, incarnation, timings, members, logger,
		} = options;
		this.lease = new Lease({
			objectApi, clock, name: formatInstanceLease(self), holder: self, incarnation, durationMs: timings.leaseDurationMs,
			mayReplaceEarlierIncarnation: true,
		});
		this.ledger = new BudgetLedger(objectApi, incarnation);
		this.partHistory = new PartHistory(timings);
		this.deadOwners = new DeadOwnerWatcher({
			self, incarnation, objectApi, clock, members, timings, logger, ledger: this.ledger,
			onLeaseTaken: outcome => {
				this.hasPendingWrite ||= outcome === 'unknown';
				this.nextLedgerReadAt = 0;
			},
		});
	}

	/** Whether the owned parts may be used at `now`. Has to be checked immediately before each use. */
	isOwner(now: MonotonicMs): boolean {
		return this.recordedFencing !== undefined && this.lease.isHeld(now + this.options.timings.leaseMarginMs as MonotonicMs);
	}

	/** Whether tokens may be granted to other instances. The ledger has to record this first, so that a successor waits until such grants have expired. */
	canGrantToPeers(): boolean {
		return this.isShared;
	}

	/** Makes the next step record in the ledger that tokens are granted to other instances. */
	requestSharing(): void {
		this.hasPeerRequests = true;
		this.nextLedgerReadAt = 0;
	}

	/** Whether the next step should run soon, for example after a write conflict or because a newer ledger is known. */
	shouldStepSoon(): boolean {
		return !this.isStoreDown && !this.isLeaving && this.nextLedgerReadAt === 0;
	}

	readLedger(): LedgerRecord | undefined {
		return this.latestLedger;
	}

	readRevision(): number {
		return this.latestLedger?.revision ?? 0;
	}

	/** Adopts a newer ledger from a peer to find owners. Ownership is decided by the store alone. */
	observePeerLedger(record: LedgerRecord): void {
		if (record.revision > this.readRevision()) {
			this.latestLedger = record;
			this.nextLedgerReadAt = 0;
		}
	}

	/** Schedules a read of the ledger in the next step if a peer knows a newer revision. Returns whether it is newer. */
	observePeerRevision(revision: number): boolean {
		const isNewer = revision > this.readRevision();
		if (isNewer) {
			this.nextLedgerReadAt = 0;
		}

		return isNewer;
	}

	/** Renews the lease, reads the ledger and acts on it, each when due. */
	async step(): Promise<void> {
		try {
			await this.renewLease();
			await this.syncLedger();
			this.reportStoreState(false);
		} catch (error) {
			this.reportStoreState(true, (error as Error).message);
		}
	}

	/** Stops using all parts and frees them in the ledger, then releases the lease. */
	async handOver(): Promise<void> {
		const {
			owner, clock, self, incarnation, logger,
		} = this.options;
		this.isLeaving = true;
		const now = clock.readMonotonic();
		const isOwner = this.isOwner(now);
		const handovers = Object.fromEntries(owner.listParts().map(part => [part, owner.createHandover(part, now)]));
		owner.clearParts();
		this.recordedFencing = undefined;
		try {
			let outcome = isOwner ? 'conflict' : 'none';
			for (let attempt = 0; outcome === 'conflict' && attempt < maximumHandOverAttempts; attempt += 1) {
				const snapshot = await this.ledger.read();
				const ownHandovers = selectHandovers(snapshot.record, {self, incarnation}, handovers);
				const result = await this.ledger.write(snapshot, removeOwner(snapshot.record, self, ownHandovers));
				outcome = result.outcome;
				this.latestLedger = result.snapshot?.record ?? this.latestLedger;
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
			isOwner: this.isOwner(now), fencing: this.recordedFencing, leaseLeftMs: expiry === undefined ? 0 : expiry - now,
			ledgerRevision: this.readRevision(), hasPendingWrite: this.hasPendingWrite, watchedLeases: this.deadOwners.listWatched(),
		};
	}

	private async renewLease(): Promise<void> {
		const {clock, timings, owner, logger} = this.options;
		const now = clock.readMonotonic();
		if (this.isLeaving || (now < this.nextRenewalAt && this.lease.isHeld(now))) {
			return;
		}

		const isHeld = await this.lease.acquire();
		if (!isHeld || this.lease.readFencing() !== this.recordedFencing) {
			owner.clearParts();
			this.unconfirmedHandovers.clear();
			this.recordedFencing = undefined;
		}

		if (isHeld) {
			this.nextRenewalAt = now + timings.renewIntervalMs;
			if (this.recordedFencing === undefined) {
				this.nextLedgerReadAt = 0;
				logger.info('budget lease acquired', {fencing: this.lease.readFencing()});
			}
		} else {
			logger.warn('budget lease not held', {});
		}
	}

	private async syncLedger(): Promise<void> {
		const {clock, timings} = this.options;
		const now = clock.readMonotonic();
		if (this.isLeaving || now < this.nextLedgerReadAt) {
			return;
		}

		let snapshot = await this.ledger.read();
		this.nextLedgerReadAt = now + timings.ledgerIntervalMs;
		if (this.lease.isHeld(clock.readMonotonic())) {
			snapshot = await this.writePlan(snapshot);
		}

		this.applyLedger(snapshot.record, new Map());
		await this.deadOwners.observe(snapshot.record);
	}

	private async writePlan(snapshot: LedgerSnapshot): Promise<LedgerSnapshot> {
		const {owner, self, logger, timings, clock, members} = this.options;
		const plan = this.createPlan(snapshot.record);
		const now = clock.readMonotonic();
		if (plan === undefined || members.readSelf().state === 'leaving') {
			return snapshot;
		}

		const handovers: Record<string, PartHandover> = {};
		for (const part of plan.givenUp) {
			handovers[part] = owner.createHandover(part, now);
			this.unconfirmedHandovers.set(part, handovers[part]);
			owner.removePart(part);
			this.partHistory.recordGivenUp(part, now);
		}

		const fencing = this.lease.readFencing();
		const result = await this.ledger.write(snapshot, {...plan.record, handovers: {...plan.record.handovers, ...handovers}});
		if (result.outcome !== 'written' || result.snapshot === undefined) {
			this.hasPendingWrite ||= result.outcome === 'unknown';
			this.nextLedgerReadAt = 0;
			return result.snapshot ?? snapshot;
		}

		this.hasPendingWrite = false;
		this.unconfirmedHandovers.clear();
		this.isShared = plan.record.owners[self]?.isShared ?? false;
		if (this.recordedFencing === undefined && fencing === this.lease.readFencing()) {
			this.recordedFencing = fencing;
		}

		this.applyLedger(result.snapshot.record, collectInitialStates(snapshot.record, self));
		logger.info('budget ledger written', {
			revision: result.snapshot.record.revision, claimed: plan.claimed.length, given_up: plan.givenUp.length,
			parts: owner.listParts().length, wait_ms: timings.grantExpiryMs,
		});
		return result.snapshot;
	}

	private createPlan(record: LedgerRecord): LedgerPlan | undefined {
		const {self, incarnation, members, clock} = this.options;
		const now = clock.readMonotonic();
		const liveIds = members.listLive(now).filter(member => member.state === 'live').map(member => member.id);
		const candidates = liveIds.includes(self) ? liveIds : [...liveIds, self];
		// Peers may still hold grants from the earlier owner of a part that was given up.
		const isShared = this.hasPeerRequests || candidates.length > 1 || record.owners[self]?.isShared === true
			|| Object.keys(record.owners).some(id => id !== self) || record.parts.includes(freePartMark);
		const term: LedgerOwner = {incarnation, fencing: this.lease.readFencing() ?? 0 as FencingNumber, isShared};
		this.partHistory.observe(record, now);
		const plan = planLedger(record, {
			self, term, live: candidates,
			canGiveUp: slot => this.partHistory.canGiveUp(slot, now),
			mayExceedShare: part => this.partHistory.mayExceedShare(part, now),
		});
		const mustWrite = this.hasPendingWrite || (this.recordedFencing === undefined && record.parts.includes(self));
		return plan ?? (mustWrite ? {record, claimed: [], givenUp: []} : undefined);
	}

	/**
	 * Updates the owned parts to match a ledger read from the store. A part without a known initial state
	 * becomes usable when earlier grants have expired.
	 */
	private applyLedger(record: LedgerRecord, initialStates: ReadonlyMap<number, PartHandover>): void {
		const {self, incarnation, owner, clock, timings} = this.options;
		if (record.revision >= this.readRevision()) {
			this.latestLedger = record;
		}

		const entry = record.owners[self];
		const isOwnTerm = this.recordedFencing !== undefined && entry?.incarnation === incarnation && entry.fencing === this.recordedFencing;
		const now = clock.readMonotonic();
		for (const [part, id] of record.parts.entries()) {
			if (!isOwnTerm || id !== self) {
				owner.removePart(part);
			} else if (!owner.hasPart(part) && !this.hasPendingWrite) {
				const initialState = initialStates.get(part) ?? this.unconfirmedHandovers.get(part);
				this.unconfirmedHandovers.delete(part);
				const usableAt = initialState === undefined ? now + timings.grantExpiryMs : now;
				owner.addPart(part, {slot: findSlotOfPart(part), usableAt: usableAt as MonotonicMs, start: initialState ?? {level: 0, outstanding: 0}}, now);
			}
		}
	}

	private reportStoreState(isDown: boolean, reason?: string): void {
		if (isDown !== this.isStoreDown) {
			this.isStoreDown = isDown;
			this.options.logger.warn(isDown ? 'budget store calls fail' : 'budget store calls work again', {reason});
		}
	}
}
