/**
 * This instance's share of an organisation's token quota. The shares of all instances add up to at most the quota.
 * Tokens are withdrawn before they are sent to another instance, so a lost message loses tokens and never creates any.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Rate and limits of a share. */
export type ShareSize = {
	readonly tokensPerMs: number;
	/** Level up to which the share refills at its rate. */
	readonly burstTokens: number;
	/** Level up to which the share accepts deposits from other instances. */
	readonly poolCapacityTokens: number;
};

/** Token bucket. It starts with `level` tokens instead of its burst, which the instance may have spent before a restart. */
export class QuotaShare {
	constructor(private size: ShareSize, private refilledAt: MonotonicMs, private level = 0) {}

	/** Withdraws `tokens` if the level suffices; returns whether it does. */
	charge(tokens: number, now: MonotonicMs): boolean {
		this.refill(now);
		// The comparison also refuses what is no number.
		if (!(this.level >= tokens)) {
			return false;
		}

		this.level -= tokens;
		return true;
	}

	/** Withdraws `tokens`, also more than there are, if the debt is `maximumDebt` at most afterwards; returns whether it does. */
	overdraw(tokens: number, maximumDebt: number, now: MonotonicMs): boolean {
		this.refill(now);
		if (!Number.isFinite(tokens) || this.level - tokens < -maximumDebt) {
			return false;
		}

		this.level -= tokens;
		return true;
	}

	/** Withdraws up to `tokens` for another instance; returns the number withdrawn. */
	lend(tokens: number, now: MonotonicMs): number {
		this.refill(now);
		const lent = Math.max(0, Math.min(tokens, this.level));
		this.level -= lent;
		return lent;
	}

	/** Adds tokens that another instance lent, or that are refunded for a call that did not run. What is no number of tokens is ignored. */
	receive(tokens: number, now: MonotonicMs): void {
		this.refill(now);
		this.level += selectFinite(tokens);
	}

	/** Adds unused tokens of another instance up to the pool's capacity. */
	deposit(tokens: number, now: MonotonicMs): void {
		this.refill(now);
		this.level = Math.max(this.level, Math.min(this.level + selectFinite(tokens), this.size.poolCapacityTokens));
	}

	/** Withdraws what the level is above the burst; returns the number of tokens withdrawn. */
	withdrawExcess(now: MonotonicMs): number {
		return this.withdrawSurplus(this.size.burstTokens, now);
	}

	/** Withdraws all tokens beyond `retainedTokens`; returns the number withdrawn. */
	withdrawSurplus(retainedTokens: number, now: MonotonicMs): number {
		return this.lend(this.readLevel(now) - retainedTokens, now);
	}

	/** Changes the size and lowers the level to the new pool capacity if it is higher. */
	resize(size: ShareSize, now: MonotonicMs): void {
		this.refill(now);
		this.size = size;
		this.level = Math.min(this.level, size.poolCapacityTokens);
	}

	/** Current number of tokens; negative after an overdraft. */
	readLevel(now: MonotonicMs): number {
		this.refill(now);
		return this.level;
	}

	/** Number of tokens missing for a charge of `tokens`. */
	measureShortage(tokens: number, now: MonotonicMs): number {
		this.refill(now);
		return Math.max(0, tokens - this.level);
	}

	/** Refills at the rate up to the burst. Borrowed or deposited tokens may raise the level above it and are kept, but pause the refill. */
	private refill(now: MonotonicMs): void {
		const refillTokens = Math.max(0, now - this.refilledAt) * this.size.tokensPerMs;
		this.refilledAt = now > this.refilledAt ? now : this.refilledAt;
		if (this.level < this.size.burstTokens) {
			this.level = Math.min(this.size.burstTokens, this.level + refillTokens);
		}
	}
}

/** Returns a number of tokens, or 0 for what is none. */
function selectFinite(tokens: number): number {
	return Number.isFinite(tokens) && tokens > 0 ? tokens : 0;
}
