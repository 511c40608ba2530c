/**
 * Admission against budgets that hold over the whole fleet. Each instance is a holder of lots and
 * may be an owner of parts; `docs/budgets.md` describes how the two keep the interval bound.
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

/** What fleet budgets need from the daemon. */
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
/** Pause after a step that a peer asked for, so that many changes of the ledger cause few reads. */
const smallestStepMs = 20;
/** Requests of one organisation that wait at most. */
const maximumQueue = 1000;
/** Peers told of a ledger that this instance has just left. */
const greetedPeers = 8;
/** Longest wait while parts of the organisation's budget are between two owners, in milliseconds. */
const transitionWaitMs = 3000;
const transitionCheckMs = 100;

/** Budgets of one instance. */
export class FleetBudget implements BudgetGate {
	readonly metrics: BudgetMetrics;
	private readonly timings: BudgetTimings;
	private readonly owner: BudgetOwner;
	private readonly holder: BudgetHolder;
	private readonly tenure: BudgetTenure;
	private readonly exchanger: BudgetExchanger;
	private readonly accounts = new Map<OrganisationId, BudgetAccount>();
	private readonly controller = new AbortController();
	private tasks: Array<Promise<void>> = [];
	private reportedAt = 0;
	/** Ends the pause before the next step of the tenure. */
	private stepController = new AbortController();

	constructor(private readonly options: FleetBudgetOptions) {
		// Each organisation that waits for tokens sleeps under this signal.
		setMaxListeners(0, this.controller.signal);
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
			onLots: id => {
				this.serveQueue(id);
			},
			onLedgerDue: () => {
				this.stepController.abort();
			},
		});
	}

	/** Starts the tasks that keep the lease and that return and fetch tokens. */
	start(): void {
		this.tasks = [this.keepTenure(), this.keepLots()];
	}

	/** Applies the organisations of the configuration in force. */
	applyOrganisations(organisations: readonly ResolvedOrganisation[]): void {
		this.owner.applyOrganisations(organisations, this.options.clock.readMonotonic());
	}

	async admit(organisation: ResolvedOrganisation, tokens: number, waitMs: number): Promise<Admission> {
		if (tokens > organisation.burstTokens) {
			throw this.refuse(createRouterError('burstExceeded', `${tokens} tokens, burst ${organisation.burstTokens}`));
		}

		const account = this.openAccount(organisation);
		const now = this.options.clock.readMonotonic();
		account.noteDemand(tokens, now);
		const charge = account.queue.length === 0 ? this.chargeTokens(account, tokens, now) : undefined;
		if (charge !== undefined) {
			void this.refill(account);
			return this.createAdmission(charge, tokens);
		}

		return this.waitForTokens(account, tokens, waitMs);
	}

	/** Stops after the last request: returns the lots and hands the parts over. */
	async stop(): Promise<void> {
		this.controller.abort();
		this.stepController.abort();
		await Promise.all(this.tasks);
		const now = this.options.clock.readMonotonic();
		for (const organisation of this.holder.listOrganisations()) {
			this.holder.returnAll(organisation, now);
		}

		await this.exchanger.flushReports();
		await this.tenure.handOver();
		await this.exchanger.greetPeers(greetedPeers);
	}

	/** State for people and tools. */
	dump(): unknown {
		const now = this.options.clock.readMonotonic();
		const accounts = [...this.accounts.values()].map(account => ({
			id: account.id, waiting: account.queue.length, demandPerSecond: account.demandPerSecond,
		}));
		return {
			tenure: this.tenure.dump(now), owner: this.owner.dump(now), holder: this.holder.dump(now), accounts,
		};
	}

	private async keepTenure(): Promise<void> {
		const {clock} = this.options;
		const {signal} = this.controller;
		while (!signal.aborted) {
			await this.tenure.step();
			this.metrics.ledgerRevision.set(this.tenure.readRevision());
			this.metrics.ownedParts.set(this.tenure.isOwner(clock.readMonotonic()) ? this.owner.listParts().length : 0);
			if (this.tenure.readLedger() === undefined) {
				await this.exchanger.greetPeers(2);
			}

			if (this.stepController.signal.aborted || this.tenure.hasWork()) {
				this.stepController = new AbortController();
				await clock.sleep(smallestStepMs, signal);
			} else {
				await clock.sleep(stepIntervalMs, this.stepController.signal);
			}
		}
	}

	private async keepLots(): Promise<void> {
		const {clock} = this.options;
		const {signal} = this.controller;
		while (!signal.aborted) {
			await clock.sleep(this.timings.tickMs, signal);
			const now = clock.readMonotonic();
			this.owner.expireGrants(now);
			this.holder.expire(now);
			for (const organisation of this.holder.listOrganisations()) {
				const account = this.accounts.get(organisation);
				const keep = account === undefined ? 0 : account.calculateTarget(now, this.timings.prefetchMs) + account.countQueued();
				this.holder.returnSurplus(organisation, keep, now, account?.isScarce(now) ?? false);
			}

			if (now - this.reportedAt >= this.calculateReportMs()) {
				this.reportedAt = now;
				// Not awaited: a silent peer must not hold up the others.
				void this.exchanger.flushReports();
			}

			this.refillAccounts(now);
		}
	}

	private calculateReportMs(): number {
		const shares = [...this.accounts.values()].map(account => account.reportMs);
		return Math.min(this.timings.reportMs, ...shares);
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

	/** Fetches tokens until the queue is served and the prefetched lots are enough, or the fleet has none. */
	private async refill(account: BudgetAccount): Promise<void> {
		const {clock} = this.options;
		if (account.isRefilling) {
			return;
		}

		account.isRefilling = true;
		for (;;) {
			const wanted = this.calculateWanted(account, clock.readMonotonic());
			if (wanted <= 0 || this.controller.signal.aborted) {
				break;
			}

			const pulled = await this.exchanger.pullTokens(account.id, wanted);
			this.serveQueue(account.id);
			// Asks again at once only while the fleet has plenty, so that an organisation over its rate causes few messages.
			if (pulled < wanted / 2) {
				account.noteScarcity(clock.readMonotonic());
				await clock.sleep(this.timings.refillPauseMs, this.controller.signal);
				this.serveQueue(account.id);
			}
		}

		account.isRefilling = false;
	}

	private calculateWanted(account: BudgetAccount, now: MonotonicMs): number {
		const own = this.exchanger.isCoordinator(account.id, now) ? this.owner.readLevel(account.id, now) : 0;
		return account.calculateWanted(this.holder.countAvailable(account.id, now) + own, now, this.timings.prefetchMs);
	}

	private chargeTokens(account: BudgetAccount, tokens: number, now: MonotonicMs): Charge | undefined {
		const missing = tokens - this.holder.countAvailable(account.id, now);
		if (missing > 0) {
			this.exchanger.takeLocal(account.id, missing, now);
		}

		const holdMs = Math.min(this.timings.grantMs, account.holdMs);
		return this.holder.charge(account.id, tokens, now, holdMs);
	}

	private async waitForTokens(account: BudgetAccount, tokens: number, waitMs: number): Promise<Admission> {
		const controller = new AbortController();
		if (waitMs <= 0 || account.queue.length >= maximumQueue) {
			throw this.refuseForNow(account, tokens);
		}

		const waiter: Waiter = {tokens, controller};
		account.queue.push(waiter);
		void this.refill(account);
		await this.sleepUntilServed(account, waiter, waitMs);
		if (waiter.admission !== undefined) {
			return waiter.admission;
		}

		account.queue.splice(account.queue.indexOf(waiter), 1);
		const error = this.refuseForNow(account, tokens);
		this.serveQueue(account.id);
		// Tokens gathered for this request may be what another instance waits for.
		const now = this.options.clock.readMonotonic();
		this.holder.returnSurplus(account.id, account.countQueued(), now, true);
		void this.exchanger.flushReports();
		throw error;
	}

	/**
	 * Waits for `waitMs` without a transition. Tokens of parts between two owners are not lost, they only
	 * cannot be granted yet, so the wait starts again while there are such parts, up to `transitionWaitMs` in all.
	 */
	private async sleepUntilServed(account: BudgetAccount, waiter: Waiter, waitMs: number): Promise<void> {
		const {clock} = this.options;
		const {signal} = waiter.controller;
		const startedAt = clock.readMonotonic();
		let now = startedAt;
		let settledAt = startedAt;
		while (!signal.aborted && now < settledAt + waitMs && now < startedAt + Math.max(waitMs, transitionWaitMs)) {
			await clock.sleep(Math.min(transitionCheckMs, settledAt + waitMs - now), signal);
			now = clock.readMonotonic();
			settledAt = this.exchanger.isInTransition(account.id, now) ? now : settledAt;
		}
	}

	/**
	 * Serves waiting requests in order of arrival, as far as tokens are at hand. One that needs more
	 * does not hold up the others: in a shortage each instance has some tokens, and requests that wait
	 * for the first of their queue would leave them unused.
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

	private refuseForNow(account: BudgetAccount, tokens: number): RouterError {
		const now = this.options.clock.readMonotonic();
		const missing = Math.max(0, account.countQueued() + tokens - this.holder.countAvailable(account.id, now));
		const retryAfterSeconds = missing / account.organisation.tokensPerSecond;
		const isReachable = this.exchanger.isReachable(account.id, now);
		return this.refuse(createRouterError(isReachable ? 'budgetExceeded' : 'budgetUnavailable', undefined, {retryAfterSeconds}));
	}

	private refuse(error: RouterError): RouterError {
		this.metrics.refusals.inc({reason: error.entry.name});
		return error;
	}

	private openAccount(organisation: ResolvedOrganisation): BudgetAccount {
		let account = this.accounts.get(organisation.id);
		if (account === undefined) {
			account = new BudgetAccount(organisation, this.options.clock.readMonotonic());
			this.accounts.set(organisation.id, account);
		}

		account.organisation = organisation;
		return account;
	}
}
