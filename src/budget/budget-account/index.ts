/** Per-organisation state of an instance: its token demand, its queued requests and whether tokens are scarce. */

import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import type {Admission} from '../budget-gate/index.js';

/** A queued request that waits for tokens. Aborting the controller ends the wait. */
export type Waiter = {readonly tokens: number; readonly controller: AbortController; admission?: Admission};

const msPerSecond = 1000;
const demandWindowMs = 1000;
/**
 * Time limits as shares of the time that a refill of the whole burst takes. Tokens that are held for
 * settlement, prefetched or spent but not yet reported reduce the usable burst, so the shares are small.
 */
const holdBurstShare = 1 / 16;
const prefetchBurstShare = 1 / 20;
const reportBurstShare = 1 / 20;
const idleTimeoutMs = 60_000;
/** How long tokens count as scarce after owners granted less than half of the requested amount. */
const scarcityMs = 500;

/** Tracks the demand and the queued requests of one organisation. */
export class BudgetAccount {
	readonly queue: Waiter[] = [];
	isRefilling = false;
	/** Tokens requested per millisecond as of `demandUpdatedAt`, exponentially smoothed over `demandWindowMs`. */
	private demandPerMs = 0;
	/** Until this time no tokens are prefetched or kept in reserve, because the fleet ran short of them. */
	private scarceUntil = 0;

	constructor(public organisation: ResolvedOrganisation, private demandUpdatedAt: MonotonicMs) {}

	get id(): OrganisationId {
		return this.organisation.id;
	}

	/** Demand in tokens per second as of its last update. */
	get demandPerSecond(): number {
		return this.demandPerMs * msPerSecond;
	}

	/** Maximum time that a charge stays open for settlement, in milliseconds. */
	get maximumHoldMs(): number {
		return this.burstRefillMs * holdBurstShare;
	}

	/** Maximum time between reports of spent tokens, in milliseconds. */
	get maximumReportIntervalMs(): number {
		return this.burstRefillMs * reportBurstShare;
	}

	recordDemand(tokens: number, now: MonotonicMs): void {
		this.demandPerMs = (this.demandPerMs * Math.exp((this.demandUpdatedAt - now) / demandWindowMs)) + (tokens / demandWindowMs);
		this.demandUpdatedAt = now;
	}

	recordScarcity(now: MonotonicMs): void {
		this.scarceUntil = now + scarcityMs;
	}

	isScarce(now: MonotonicMs): boolean {
		return now < this.scarceUntil;
	}

	isIdle(now: MonotonicMs): boolean {
		return now - this.demandUpdatedAt > idleTimeoutMs && this.queue.length === 0;
	}

	/** Tokens that the queued requests need. */
	countQueuedTokens(): number {
		return this.queue.reduce((sum, waiter) => sum + waiter.tokens, 0);
	}

	/**
	 * Tokens to prefetch: the demand expected within `prefetchMs`, limited by the organisation's rate and
	 * to a small share of its burst, so that most of the burst stays available to other instances.
	 */
	calculatePrefetchTokens(now: MonotonicMs, prefetchMs: number): number {
		if (this.isScarce(now)) {
			return 0;
		}

		const currentDemandPerMs = this.demandPerMs * Math.exp((this.demandUpdatedAt - now) / demandWindowMs);
		const effectivePrefetchMs = Math.min(prefetchMs, this.burstRefillMs * prefetchBurstShare);
		return Math.min(currentDemandPerMs, this.organisation.tokensPerSecond / msPerSecond) * effectivePrefetchMs;
	}

	/** Tokens to request from the fleet when `available` can be used without a request. */
	calculateTokensToRequest(available: number, now: MonotonicMs, prefetchMs: number): number {
		const prefetchTokens = this.calculatePrefetchTokens(now, prefetchMs);
		// In a shortage each instance asks for the tokens of one request at a time, so that few tokens are held unused.
		const hasShortage = this.isScarce(now) && this.queue.length > 0;
		const queuedTokens = hasShortage ? Math.min(...this.queue.map(waiter => waiter.tokens)) : this.countQueuedTokens();
		if (queuedTokens === 0 && available >= prefetchTokens / 2) {
			return 0;
		}

		return Math.max(0, queuedTokens + prefetchTokens - available);
	}

	/** Time that a refill of the whole burst takes at the organisation's rate, in milliseconds. */
	private get burstRefillMs(): number {
		return this.organisation.burstTokens / this.organisation.tokensPerSecond * msPerSecond;
	}
}
