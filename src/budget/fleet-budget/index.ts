/**
 * Admission against token budgets that apply to the whole fleet. Each instance holds lots, which are
 * tokens granted to it, and may own budget parts, which it grants from. `docs/budgets.md` describes
 * how holders and owners together keep the limit of burst + rate x t for every interval of length t.
 */

import {setMaxListeners} from 'node:events';
import type {Registry} from 'prom-client';
import type {Clock} from '../../clock/clock/index.js';
import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {Incarnation, MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import type {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {MemberView} from '../../membership/member/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {ObjectApi} from '../../store/object-api/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import {BudgetAccount, type Waiter} from '../budget-account/index.js';
import {BudgetExchanger} from '../budget-exchanger/index.js';
import type {Admission, BudgetGate} from '../budget-gate/index.js';
import {BudgetHolder, type Charge} from '../budget-holder/index.js';
import {createBudgetMetrics, type BudgetMetrics} from '../budget-metrics/index.js';
import {BudgetOwner} from '../budget-owner/index.js';
import {BudgetTenure} from '../budget-tenure/index.js';
import {defaultBudgetTimings, type BudgetTimings} from '../budget-timings/index.js';

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
/** Maximum number of waiting requests of one organisation. */
const maximumQueueLength = 1000;
/** Number of peers that are sent the new ledger after this instance has left it. */
const handoverPeerCount = 8;
/** Maximum total wait of a request while parts of the organisation's budget are changing owners. */
const maximumTransitionWaitMs = 3000;
const transitionCheckIntervalMs = 100;

/** Budget gate of one instance. */
export class FleetBudget implements BudgetGate {
	readonly metrics: BudgetMetrics;
	private readonly timings: BudgetTimings;
	private readonly owner: BudgetOwner;
	private readonly holder: BudgetHolder;
	private readonly tenure: BudgetTenure;
	private readonly exchanger: BudgetExchanger;
	private readonly accounts = new Map<OrganisationId, BudgetAccount>();
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
				this.serveQueue(id);
			},
			onLedgerReadNeeded: () => {
				this.stepController.abort();
			},
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
		if (tokens > organisation.burstTokens) {
			throw this.countRefusal(createRouterError('burstExceeded', `${tokens} tokens, burst ${organisation.burstTokens}`));
		}

		const account = this.getOrCreateAccount(organisation);
		const now = this.options.clock.readMonotonic();
		account.recordDemand(tokens, now);
		const charge = account.queue.length === 0 ? this.chargeTokens(account, tokens, now) : undefined;
		if (charge !== undefined) {
			void this.refill(account);
			return this.createAdmission(charge, tokens);
		}

		return this.waitForTokens(account, tokens, waitMs);
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
		const accounts = [...this.accounts.values()].map(account => ({
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
				const account = this.accounts.get(organisation);
				const tokensToKeep = account === undefined ? 0 : account.calculatePrefetchTokens(now, this.timings.prefetchMs) + account.countQueuedTokens();
				this.holder.returnSurplus(organisation, tokensToKeep, now, account?.isScarce(now) ?? false);
			}

			if (now - this.lastReportAt >= this.calculateReportIntervalMs()) {
				this.lastReportAt = now;
				// Not awaited, so that an unresponsive peer does not delay this loop.
				void this.exchanger.flushReports();
			}

			this.refillAccounts(now);
		}
	}

	private calculateReportIntervalMs(): number {
		const intervals = [...this.accounts.values()].map(account => account.maximumReportIntervalMs);
		return Math.min(this.timings.reportIntervalMs, ...intervals);
	}

	private refillAccounts(now: MonotonicMs): void {
		for (const account of this.accounts.values()) {
			if (account.isIdle(now)) {
				this.accounts.delete(account.id);
			} else {
				this.serveQueue(account.id);
				void this.refill(account);
			}
		}
	}

	/** Fetches tokens until the queue is served and enough lots are prefetched, pausing while the fleet is short of tokens. */
	private async refill(account: BudgetAccount): Promise<void> {
		const {clock} = this.options;
		if (account.isRefilling) {
			return;
		}

		account.isRefilling = true;
		for (;;) {
			const tokensToRequest = this.calculateTokensToRequest(account, clock.readMonotonic());
			if (tokensToRequest <= 0 || this.stopController.signal.aborted) {
				break;
			}

			const pulledTokens = await this.exchanger.pullTokens(account.id, tokensToRequest);
			this.serveQueue(account.id);
			// Asks again at once only if at least half was granted, so that an organisation over its rate causes few messages.
			if (pulledTokens < tokensToRequest / 2) {
				account.recordScarcity(clock.readMonotonic());
				await clock.sleep(this.timings.refillPauseMs, this.stopController.signal);
				this.serveQueue(account.id);
			}
		}

		account.isRefilling = false;
	}

	private calculateTokensToRequest(account: BudgetAccount, now: MonotonicMs): number {
		const ownLevel = this.exchanger.isCoordinator(account.id, now) ? this.owner.readLevel(account.id, now) : 0;
		return account.calculateTokensToRequest(this.holder.countAvailable(account.id, now) + ownLevel, now, this.timings.prefetchMs);
	}

	private chargeTokens(account: BudgetAccount, tokens: number, now: MonotonicMs): Charge | undefined {
		const missingTokens = tokens - this.holder.countAvailable(account.id, now);
		if (missingTokens > 0) {
			this.exchanger.acquireLocalTokens(account.id, missingTokens, now);
		}

		const holdMs = Math.min(this.timings.grantValidityMs, account.maximumHoldMs);
		return this.holder.charge(account.id, tokens, now, holdMs);
	}

	private async waitForTokens(account: BudgetAccount, tokens: number, waitMs: number): Promise<Admission> {
		const controller = new AbortController();
		if (waitMs <= 0 || account.queue.length >= maximumQueueLength) {
			throw this.createTemporaryRefusal(account, tokens);
		}

		const waiter: Waiter = {tokens, controller};
		account.queue.push(waiter);
		void this.refill(account);
		await this.waitUntilServed(account, waiter, waitMs);
		if (waiter.admission !== undefined) {
			return waiter.admission;
		}

		account.queue.splice(account.queue.indexOf(waiter), 1);
		const error = this.createTemporaryRefusal(account, tokens);
		this.serveQueue(account.id);
		// Another instance may be waiting for the tokens that were fetched for this request.
		const now = this.options.clock.readMonotonic();
		this.holder.returnSurplus(account.id, account.countQueuedTokens(), now, true);
		void this.exchanger.flushReports();
		throw error;
	}

	/**
	 * Waits until the waiter is served, for up to `waitMs`. Parts that are changing owners cannot grant tokens yet but
	 * will, so the wait starts again for as long as there are such parts, up to `maximumTransitionWaitMs` in total.
	 */
	private async waitUntilServed(account: BudgetAccount, waiter: Waiter, waitMs: number): Promise<void> {
		const {clock} = this.options;
		const {signal} = waiter.controller;
		const startedAt = clock.readMonotonic();
		let now = startedAt;
		let waitStartedAt = startedAt;
		while (!signal.aborted && now < waitStartedAt + waitMs && now < startedAt + Math.max(waitMs, maximumTransitionWaitMs)) {
			await clock.sleep(Math.min(transitionCheckIntervalMs, waitStartedAt + waitMs - now), signal);
			now = clock.readMonotonic();
			waitStartedAt = this.exchanger.isInTransition(account.id, now) ? now : waitStartedAt;
		}
	}

	/**
	 * Serves waiting requests in order of arrival, as far as tokens are available. A request that needs
	 * more than that does not block those behind it: in a shortage each instance has a few tokens,
	 * which would stay unused if the queue waited for its first request.
	 */
	private serveQueue(id: OrganisationId): void {
		const account = this.accounts.get(id);
		for (const waiter of account?.queue ?? []) {
			const charge = account === undefined ? undefined : this.chargeTokens(account, waiter.tokens, this.options.clock.readMonotonic());
			if (charge !== undefined) {
				account?.queue.splice(account.queue.indexOf(waiter), 1);
				waiter.admission = this.createAdmission(charge, waiter.tokens);
				waiter.controller.abort();
			}
		}
	}

	private createAdmission(charge: Charge, tokens: number): Admission {
		this.metrics.admittedTokens.inc(tokens);
		return {
			settle: usedTokens => {
				this.holder.settle(charge, usedTokens);
			},
		};
	}

	private createTemporaryRefusal(account: BudgetAccount, tokens: number): RouterError {
		const now = this.options.clock.readMonotonic();
		const missingTokens = Math.max(0, account.countQueuedTokens() + tokens - this.holder.countAvailable(account.id, now));
		const retryAfterSeconds = missingTokens / account.organisation.tokensPerSecond;
		const isReachable = this.exchanger.isReachable(account.id, now);
		return this.countRefusal(createRouterError(isReachable ? 'budgetExceeded' : 'budgetUnavailable', undefined, {retryAfterSeconds}));
	}

	private countRefusal(error: RouterError): RouterError {
		this.metrics.refusals.inc({reason: error.entry.name});
		return error;
	}

	private getOrCreateAccount(organisation: ResolvedOrganisation): BudgetAccount {
		let account = this.accounts.get(organisation.id);
		if (account === undefined) {
			account = new BudgetAccount(organisation, this.options.clock.readMonotonic());
			this.accounts.set(organisation.id, account);
		}

		account.organisation = organisation;
		return account;
	}
}
