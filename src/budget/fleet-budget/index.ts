/**
 * Admission against token budgets that apply to the whole fleet. Each instance spends the grants that it
 * holds, and may own budget parts, which it grants from. `docs/budgets.md` describes
 * how holders and owners together keep the limit of burst + rate x t for every interval of length t.
 */

import {setMaxListeners} from 'node:events';
import type {Registry} from 'prom-client';
import type {Clock} from '../../clock/clock/index.js';
import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {Incarnation} from '../../identity/ids/index.js';
import type {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {MemberView} from '../../membership/member/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {ObjectApi} from '../../store/object-api/index.js';
import {AdmissionQueue} from '../admission-queue/index.js';
import {BudgetExchanger} from '../budget-exchanger/index.js';
import type {Admission, BudgetGate} from '../budget-gate/index.js';
import {BudgetHolder} from '../budget-holder/index.js';
import {createBudgetMetrics, type BudgetMetrics} from '../budget-metrics/index.js';
import {BudgetOwner} from '../budget-owner/index.js';
import {PartOwnership} from '../part-ownership/index.js';
import {defaultBudgetTimings, type BudgetTimings} from '../budget-timings/index.js';
import {TokenSupply} from '../token-supply/index.js';

/** Dependencies and timings of fleet budgets. */
export type FleetBudgetOptions = {
	readonly incarnation: Incarnation;
	readonly clock: Clock;
	readonly objectApi: ObjectApi;
	readonly peers: PeerCaller;
	readonly methods: PeerMethodRegistry;
	readonly members: MemberView;
	readonly logger: EventLogger;
	readonly invariants: InvariantChecker;
	readonly registry: Registry;
	readonly timings?: Partial<BudgetTimings>;
};

const stepIntervalMs = 1000;
/** Pause before a step that follows early, so that frequent changes of the ledger cause few reads. */
const earlyStepPauseMs = 20;
/** Number of peers that are sent the new ledger after this instance has left it. */
const handoverPeerCount = 8;

/** Budget gate of one instance. */
export class FleetBudget implements BudgetGate {
	readonly metrics: BudgetMetrics;
	private readonly timings: BudgetTimings;
	private readonly owner: BudgetOwner;
	private readonly holder: BudgetHolder;
	private readonly ownership: PartOwnership;
	private readonly exchanger: BudgetExchanger;
	private readonly queue: AdmissionQueue;
	private readonly stopController = new AbortController();
	private tasks: Array<Promise<void>> = [];
	private lastReportAt = 0;
	/** Aborted to run the next step of `ownership` early. */
	private stepController = new AbortController();

	constructor(private readonly options: FleetBudgetOptions) {
		// Each refilling account listens to this signal, which can exceed the default limit of listeners.
		setMaxListeners(0, this.stopController.signal);
		const {incarnation, clock, objectApi, peers, methods, members, logger, invariants} = options;
		const self = members.readSelf().id;
		this.timings = {...defaultBudgetTimings, ...options.timings};
		this.metrics = createBudgetMetrics(options.registry);
		const {timings, metrics} = this;
		this.owner = new BudgetOwner({incarnation, timings, invariants});
		this.holder = new BudgetHolder({incarnation, timings, invariants});
		const {owner, holder} = this;
		this.ownership = new PartOwnership({
			self, incarnation, objectApi, clock, members, owner, timings, logger,
		});
		this.exchanger = new BudgetExchanger({
			self, clock, peers, methods, members, owner, holder, ownership: this.ownership, timings, metrics,
			onGrantsReceived: id => {
				this.queue.serveQueue(id);
			},
			onLedgerReadNeeded: () => {
				this.stepController.abort();
			},
		});
		const {exchanger} = this;
		const supply = new TokenSupply({
			clock, timings, owner, holder, exchanger, signal: this.stopController.signal,
			onTokensAvailable: id => {
				this.queue.serveQueue(id);
			},
		});
		this.queue = new AdmissionQueue({
			clock, holder, exchanger, supply, metrics,
		});
	}

	/** Starts the tasks that keep the lease and ledger entry up to date and that return and fetch tokens. */
	start(): void {
		this.tasks = [this.maintainOwnership(), this.maintainGrants()];
	}

	/** Applies the organisations of the current configuration. */
	applyOrganisations(organisations: readonly ResolvedOrganisation[]): void {
		this.owner.applyOrganisations(organisations, this.options.clock.readMonotonic());
	}

	async admit(organisation: ResolvedOrganisation, tokens: number, waitMs: number): Promise<Admission> {
		return this.queue.admit(organisation, tokens, waitMs);
	}

	/** Returns the grants and hands over the parts. To be called after the last request. */
	async stop(): Promise<void> {
		this.stopController.abort();
		this.stepController.abort();
		await Promise.all(this.tasks);
		const now = this.options.clock.readMonotonic();
		for (const organisation of this.holder.listOrganisations()) {
			this.holder.returnAll(organisation, now);
		}

		await this.exchanger.flushReports();
		await this.ownership.handOver();
		await this.exchanger.syncLedgerWithPeers(handoverPeerCount);
	}

	/** Describes the current state for diagnostics. */
	dump(): unknown {
		const now = this.options.clock.readMonotonic();
		const accounts = this.queue.listAccounts().map(account => ({
			id: account.id, waiting: account.queue.length, demandPerSecond: account.demandPerSecond,
		}));
		return {
			tenure: this.ownership.dump(now), owner: this.owner.dump(now), holder: this.holder.dump(now), accounts,
		};
	}

	private async maintainOwnership(): Promise<void> {
		const {clock} = this.options;
		const {signal} = this.stopController;
		while (!signal.aborted) {
			await this.ownership.step();
			this.metrics.ledgerRevision.set(this.ownership.readRevision());
			this.metrics.ownedParts.set(this.ownership.isOwner(clock.readMonotonic()) ? this.owner.listParts().length : 0);
			if (this.ownership.readLedger() === undefined) {
				await this.exchanger.syncLedgerWithPeers(2);
			}

			if (this.stepController.signal.aborted || this.ownership.shouldStepSoon()) {
				this.stepController = new AbortController();
				await clock.sleep(earlyStepPauseMs, signal);
			} else {
				await clock.sleep(stepIntervalMs, this.stepController.signal);
			}
		}
	}

	private async maintainGrants(): Promise<void> {
		const {clock} = this.options;
		const {signal} = this.stopController;
		while (!signal.aborted) {
			await clock.sleep(this.timings.tickIntervalMs, signal);
			const now = clock.readMonotonic();
			this.owner.expireGrants(now);
			this.holder.expire(now);
			for (const organisation of this.holder.listOrganisations()) {
				const account = this.queue.findAccount(organisation);
				const tokensToKeep = account === undefined ? 0 : account.calculatePrefetchTokens(now, this.timings.prefetchMs) + account.countQueuedTokens();
				this.holder.returnSurplus(organisation, tokensToKeep, now, account?.isScarce(now) ?? false);
			}

			if (now - this.lastReportAt >= this.calculateReportIntervalMs()) {
				this.lastReportAt = now;
				// Not awaited, so that an unresponsive peer does not delay this loop.
				void this.exchanger.flushReports();
			}

			this.queue.refillAccounts(now);
		}
	}

	private calculateReportIntervalMs(): number {
		const intervals = this.queue.listAccounts().map(account => account.maximumReportIntervalMs);
		return Math.min(this.timings.reportIntervalMs, ...intervals);
	}
}
