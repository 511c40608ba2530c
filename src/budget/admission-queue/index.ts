/** Admits requests against the tokens of this instance. A request for which too few are there waits for more, up to a limit. */

import type {Clock} from '../../clock/clock/index.js';
import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import {BudgetAccount, type Waiter} from '../budget-account/index.js';
import type {BudgetExchanger} from '../budget-exchanger/index.js';
import type {Admission, BudgetGate} from '../budget-gate/index.js';
import type {BudgetHolder, Charge} from '../budget-holder/index.js';
import type {BudgetMetrics} from '../budget-metrics/index.js';
import type {TokenSupply} from '../token-supply/index.js';

/** Options of `AdmissionQueue`. */
export type AdmissionQueueOptions = {
	readonly clock: Clock;
	readonly holder: BudgetHolder;
	readonly exchanger: BudgetExchanger;
	readonly supply: TokenSupply;
	readonly metrics: BudgetMetrics;
};

/** Maximum number of waiting requests of one organisation. */
const maximumQueueLength = 1000;
/** Maximum total wait of a request while parts of the organisation's budget are changing owners. */
const maximumTransitionWaitMs = 3000;
const transitionCheckIntervalMs = 100;

/** Accounts of the organisations and their waiting requests. */
export class AdmissionQueue implements BudgetGate {
	private readonly accounts = new Map<OrganisationId, BudgetAccount>();

	constructor(private readonly options: AdmissionQueueOptions) {}

	/** Returns the account of an organisation with recent or waiting requests. */
	findAccount(organisation: OrganisationId): BudgetAccount | undefined {
		return this.accounts.get(organisation);
	}

	listAccounts(): BudgetAccount[] {
		return [...this.accounts.values()];
	}

	async admit(organisation: ResolvedOrganisation, tokens: number, waitMs: number): Promise<Admission> {
		if (tokens > organisation.burstTokens) {
			throw this.countRefusal(createRouterError('burstExceeded', `${tokens} tokens, burst ${organisation.burstTokens}`));
		}

		const account = this.getOrCreateAccount(organisation);
		const now = this.options.clock.readMonotonic();
		account.recordDemand(tokens, now);
		const charge = account.queue.length === 0 ? this.options.supply.charge(account, tokens, now) : undefined;
		if (charge !== undefined) {
			void this.options.supply.refill(account);
			return this.createAdmission(charge, tokens);
		}

		return this.waitForTokens(account, tokens, waitMs);
	}

	/**
	 * Serves waiting requests in order of arrival, as far as tokens are available. A request that needs
	 * more than that does not block those behind it: in a shortage each instance has a few tokens,
	 * which would stay unused if the queue waited for its first request.
	 */
	serveQueue(id: OrganisationId): void {
		const account = this.accounts.get(id);
		if (account === undefined) {
			return;
		}

		// A copy, since served requests leave the queue.
		const waiters = [...account.queue];
		for (const waiter of waiters) {
			const charge = this.options.supply.charge(account, waiter.tokens, this.options.clock.readMonotonic());
			if (charge !== undefined) {
				account.queue.splice(account.queue.indexOf(waiter), 1);
				waiter.admission = this.createAdmission(charge, waiter.tokens);
				waiter.controller.abort();
			}
		}
	}

	/** Drops idle accounts, and serves and refills the others. */
	refillAccounts(now: MonotonicMs): void {
		for (const account of this.accounts.values()) {
			if (account.isIdle(now)) {
				this.accounts.delete(account.id);
			} else {
				this.serveQueue(account.id);
				void this.options.supply.refill(account);
			}
		}
	}

	private async waitForTokens(account: BudgetAccount, tokens: number, waitMs: number): Promise<Admission> {
		const controller = new AbortController();
		if (waitMs <= 0 || account.queue.length >= maximumQueueLength) {
			throw this.createTemporaryRefusal(account, tokens);
		}

		const waiter: Waiter = {tokens, controller};
		account.queue.push(waiter);
		void this.options.supply.refill(account);
		await this.waitUntilServed(account, waiter, waitMs);
		if (waiter.admission !== undefined) {
			return waiter.admission;
		}

		account.queue.splice(account.queue.indexOf(waiter), 1);
		const error = this.createTemporaryRefusal(account, tokens);
		this.serveQueue(account.id);
		// Another instance may be waiting for the tokens that were fetched for this request.
		const now = this.options.clock.readMonotonic();
		this.options.holder.returnSurplus(account.id, account.countQueuedTokens(), now, true);
		void this.options.exchanger.flushReports();
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
			waitStartedAt = this.options.exchanger.isInTransition(account.id, now) ? now : waitStartedAt;
		}
	}

	private createAdmission(charge: Charge, tokens: number): Admission {
		this.options.metrics.admittedTokens.inc(tokens);
		return {
			settle: usedTokens => {
				this.options.holder.settle(charge, usedTokens);
			},
		};
	}

	private createTemporaryRefusal(account: BudgetAccount, tokens: number): RouterError {
		const now = this.options.clock.readMonotonic();
		const missingTokens = Math.max(0, account.countQueuedTokens() + tokens - this.options.holder.countAvailable(account.id, now));
		const retryAfterSeconds = missingTokens / account.organisation.tokensPerSecond;
		const isReachable = this.options.exchanger.isReachable(account.id, now);
		return this.countRefusal(createRouterError(isReachable ? 'budgetExceeded' : 'budgetUnavailable', undefined, {retryAfterSeconds}));
	}

	private countRefusal(error: RouterError): RouterError {
		this.options.metrics.refusals.inc({reason: error.entry.name});
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
