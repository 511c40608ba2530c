/** What an instance knows of one organisation's traffic: its demand, its waiting requests, and whether tokens are short. */

import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import type {Admission} from '../budget-gate/index.js';

/** A request that waits for tokens; its sleep ends when the controller aborts. */
export type Waiter = {readonly tokens: number; readonly controller: AbortController; admission?: Admission};

const msPerSecond = 1000;
const demandWindowMs = 1000;
/**
 * Shares of the time in which the burst is earned. Tokens that are held for settlement, prefetched
 * or spent without a report are missing from the burst, so each of these is kept to a small share.
 */
const holdShare = 1 / 16;
const prefetchShare = 1 / 20;
const reportShare = 1 / 20;
const idleMs = 60_000;
/** How long an organisation counts as short of tokens after owners granted less than half of what was wanted. */
const scarceMs = 500;

/** Account of one organisation. */
export class BudgetAccount {
	readonly queue: Waiter[] = [];
	isRefilling = false;
	/** Tokens asked for per millisecond, smoothed over `demandWindowMs`. */
	private demand = 0;
	/** The fleet had too few tokens; until then nothing is prefetched and nothing kept. */
	private scarceUntil = 0;

	constructor(public organisation: ResolvedOrganisation, private demandAt: MonotonicMs) {}

	get id(): OrganisationId {
		return this.organisation.id;
	}

	/** Demand in tokens per second when it was last noted. */
	get demandPerSecond(): number {
		return this.demand * msPerSecond;
	}

	/** Longest time for which a charge is held open for its settlement, in milliseconds. */
	get holdMs(): number {
		return this.burstMs * holdShare;
	}

	/** Longest time between reports of spent tokens, in milliseconds. */
	get reportMs(): number {
		return this.burstMs * reportShare;
	}

	noteDemand(tokens: number, now: MonotonicMs): void {
		this.demand = (this.demand * Math.exp((this.demandAt - now) / demandWindowMs)) + (tokens / demandWindowMs);
		this.demandAt = now;
	}

	noteScarcity(now: MonotonicMs): void {
		this.scarceUntil = now + scarceMs;
	}

	isScarce(now: MonotonicMs): boolean {
		return now < this.scarceUntil;
	}

	isIdle(now: MonotonicMs): boolean {
		return now - this.demandAt > idleMs && this.queue.length === 0;
	}

	/** Tokens that the waiting requests need. */
	countQueued(): number {
		return this.queue.reduce((sum, waiter) => sum + waiter.tokens, 0);
	}

	/** Tokens to keep at hand: the demand of the coming moments, within limits that leave most of the burst to others. */
	calculateTarget(now: MonotonicMs, prefetchMs: number): number {
		if (this.isScarce(now)) {
			return 0;
		}

		const demand = this.demand * Math.exp((this.demandAt - now) / demandWindowMs);
		const aheadMs = Math.min(prefetchMs, this.burstMs * prefetchShare);
		return Math.min(demand, this.organisation.tokensPerSecond / msPerSecond) * aheadMs;
	}

	/** Tokens to ask the fleet for when `available` are at hand. */
	calculateWanted(available: number, now: MonotonicMs, prefetchMs: number): number {
		const target = this.calculateTarget(now, prefetchMs);
		// In a shortage each instance asks for one request at a time, so that few tokens lie about unused.
		const isShort = this.isScarce(now) && this.queue.length > 0;
		const queued = isShort ? Math.min(...this.queue.map(waiter => waiter.tokens)) : this.countQueued();
		if (queued === 0 && available >= target / 2) {
			return 0;
		}

		return Math.max(0, queued + target - available);
	}

	/** Time in which the organisation earns its whole burst. */
	private get burstMs(): number {
		return this.organisation.burstTokens / this.organisation.tokensPerSecond * msPerSecond;
	}
}
