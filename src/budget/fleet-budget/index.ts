/**
 * Admission against token budgets that apply to the whole fleet. Each instance holds lots, which are
 * tokens granted to it, and may own budget parts, which it grants from. `docs/budgets.md` describes
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
import {BudgetTenure} from '../budget-tenure/index.js';
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
	private readonly tenure: BudgetTenure;
	private readonly exchanger: BudgetExchanger;
	private readonly queue: AdmissionQueue;
	private readonly stopController = new AbortController();
	private tasks: Array<Promise<void>> = [];
	private lastReportAt = 0;
	/** Aborted to run the next step of the tenure early. */
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
		this.tenure = new BudgetTenure({
			self, incarnation, objectApi, clock, members, owner, timings, logger,
		});
		this.exchanger = new BudgetExchanger({
			self, clock, peers, methods, members, owner, holder, tenure: this.tenure, timings, metrics,
			onLotsReceived: id => {
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
		this.tasks = [this.maintainTenure(), this.maintainLots()];
	}

	/** Applies the organisations of the current configuration. */
	applyOrganisations(organisations: readonly ResolvedOrganisation[]): void {
		this.owner.applyOrganisations(organisations, this.options.clock.readMonotonic());
	}

	async admit(organisation: ResolvedOrganisation, tokens: number, waitMs: number): Promise<Admission> {
		return this.queue.admit(organisation, tokens, waitMs);
	}

	/** Returns the lots and hands over the parts. To be called after the last request. */
	async stop(): Promise<void> {
		this.stopController.abort();
		this.stepController.abort();
		await Promise.all(this.tasks);
		const now = this.options.clock.readMonotonic();
		for (const organisation of this.holder.listOrganisations()) {
			this.holder.returnAll(organisation, now);
		}

		await this.exchanger.flushReports();
		await this.tenure.handOver();
		await this.exchanger.syncLedgerWithPeers(handoverPeerCount);
	}

	/** Describes the current state for diagnostics. */
	dump(): unknown {
		const now = this.options.clock.readMonotonic();
		const accounts = this.queue.listAccounts().map(account => ({
			id: account.id, waiting: account.queue.length, demandPerSecond: account.demandPerSecond,
		}));
		return {
			tenure: this.tenure.dump(now), owner: this.owner.dump(now), holder: this.holder.dump(now), accounts,
		};
	}

	private async maintainTenure(): Promise<void> {
		const {clock} = this.options;
		const {signal} = this.stopController;
		while (!signal.aborted) {
			await this.tenure.step();
			this.metrics.ledgerRevision.set(this.tenure.readRevision());
			this.metrics.ownedParts.set(this.tenure.isOwner(clock.readMonotonic()) ? this.owner.listParts().length : 0);
			if (this.tenure.readLedger() === undefined) {
				await this.exchanger.syncLedgerWithPeers(2);
			}

			if (this.stepController.signal.aborted || this.tenure.shouldStepSoon()) {
				this.stepController = new AbortController();
				await clock.sleep(earlyStepPauseMs, signal);
			} else {
				await clock.sleep(stepIntervalMs, this.stepController.signal);
			}
		}
	}

	private async maintainLots(): Promise<void> {
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
