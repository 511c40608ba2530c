/** Watches the leases of owners that seem dead, and frees an owner's parts once its lease has been acquired. */

import type {Clock} from '../../clock/clock/index.js';
import type {Incarnation, InstanceId} from '../../identity/ids/index.js';
import {Lease} from '../../leases/lease/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {MemberView} from '../../membership/member/index.js';
import type {ObjectApi} from '../../store/object-api/index.js';
import {
	removeOwner, scoreCandidate, type BudgetLedger, type LedgerRecord, type LedgerWriteOutcome,
} from '../budget-ledger/index.js';
import type {BudgetTimings} from '../budget-timings/index.js';
import {formatInstanceLease} from '../format-instance-lease/index.js';

/** Number of instances that watch a dead owner's lease. It is fixed so that store calls do not grow with the fleet. */
const watchersPerOwner = 2;

/** Options of `DeadOwnerWatcher`. */
export type DeadOwnerWatcherOptions = {
	readonly self: InstanceId;
	readonly incarnation: Incarnation;
	readonly objectApi: ObjectApi;
	readonly clock: Clock;
	readonly members: MemberView;
	readonly timings: BudgetTimings;
	readonly logger: EventLogger;
	readonly ledger: BudgetLedger;
	/** Called once a dead owner's lease was acquired, with the outcome of freeing its parts; undefined if it had none. */
	readonly onLeaseTaken: (outcome: LedgerWriteOutcome | undefined) => void;
};

/** The dead owners that this instance watches. */
export class DeadOwnerWatcher {
	private readonly leases = new Map<string, Lease>();

	constructor(private readonly options: DeadOwnerWatcherOptions) {}

	/** Ids of the owners watched. */
	listWatched(): string[] {
		return [...this.leases.keys()];
	}

	/** Observes the leases of the record's dead owners once. Rejects if the store fails. */
	async observe(record: LedgerRecord): Promise<void> {
		const {members, clock, self} = this.options;
		const liveIds = new Set(members.listLive(clock.readMonotonic()).map(member => member.id as string));
		const deadOwners = Object.keys(record.owners).filter(id => id !== self && !liveIds.has(id) && this.isWatcher(id, liveIds));
		for (const id of this.leases.keys()) {
			if (!deadOwners.includes(id)) {
				this.leases.delete(id);
			}
		}

		for (const id of deadOwners) {
			await this.observeOwner(id);
		}
	}

	private isWatcher(ownerId: string, liveIds: ReadonlySet<string>): boolean {
		const rankedIds = [...liveIds, this.options.self].toSorted((a, b) => scoreCandidate(ownerId, a) - scoreCandidate(ownerId, b));
		return [...new Set(rankedIds)].slice(0, watchersPerOwner).includes(this.options.self);
	}

	private async observeOwner(id: string): Promise<void> {
		const {objectApi, clock, self, incarnation, timings, onLeaseTaken} = this.options;
		const lease = this.leases.get(id) ?? new Lease({
			objectApi, clock, name: formatInstanceLease(id), holder: self, incarnation, durationMs: timings.takeoverLeaseMs,
		});
		this.leases.set(id, lease);
		if (!await lease.acquire()) {
			return;
		}

		const outcome = await this.freeParts(id, lease);
		this.leases.delete(id);
		onLeaseTaken(outcome);
		await lease.release();
	}

	private async freeParts(id: string, lease: Lease): Promise<LedgerWriteOutcome | undefined> {
		const {clock, ledger, logger} = this.options;
		const snapshot = await ledger.read();
		if (snapshot.record.owners[id] === undefined || !lease.isHeld(clock.readMonotonic())) {
			return undefined;
		}

		const {outcome} = await ledger.write(snapshot, removeOwner(snapshot.record, id));
		logger.warn('budget parts of a dead owner freed', {owner: id, outcome});
		return outcome;
	}
}
