/**
 * This instance's share of an organisation's token quota. The shares of all instances add up to the
 * quota at most; tokens move between instances by `lend` and `receive`, so that a lost message destroys
 * tokens and never creates any.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Rate and burst of a share. */
export type ShareSize = {
	readonly tokensPerMs: number;
	/** Level up to which the share fills by itself. */
	readonly burstTokens: number;
	/** Level up to which it takes deposits of other shares. */
	readonly poolTokens: number;
};

/** Token bucket. It starts with `level` tokens and not with its burst, which an earlier life of the instance may have spent. */
export class QuotaShare {
	constructor(private size: ShareSize, private filledAt: MonotonicMs, private level = 0) {}

	/** Takes `tokens` when they are there. */
	charge(tokens: number, now: MonotonicMs): boolean {
		this.fill(now);
		if (this.level < tokens) {
			return false;
		}

		this.level -= tokens;
		return true;
	}

	/**
	 * Takes `tokens` although fewer are there, once the bucket is full: a call larger than the burst
	 * of a share could otherwise never be admitted. The share pays the debt back before the next call.
	 */
	overdraw(tokens: number, now: MonotonicMs): boolean {
		this.fill(now);
		if (this.level < this.size.burstTokens) {
			return false;
		}

		this.level -= tokens;
		return true;
	}

	/** Gives up to `tokens` away; returns how many. */
	lend(tokens: number, now: MonotonicMs): number {
		this.fill(now);
		const lent = Math.max(0, Math.min(tokens, this.level));
		this.level -= lent;
		return lent;
	}

	/** Adds tokens that another instance lent, or that were charged for a call that did not run. */
	receive(tokens: number, now: MonotonicMs): void {
		this.fill(now);
		this.level += tokens;
	}

	/** Adds tokens that another share did not use, as far as the pool has room. */
	deposit(tokens: number, now: MonotonicMs): void {
		this.fill(now);
		this.level = Math.max(this.level, Math.min(this.level + tokens, this.size.poolTokens));
	}

	/** Takes out what the share has beyond `kept` tokens. */
	takeSurplus(kept: number, now: MonotonicMs): number {
		return this.lend(this.readLevel(now) - kept, now);
	}

	/** Changes the size; the level never exceeds the new pool. */
	resize(size: ShareSize, now: MonotonicMs): void {
		this.fill(now);
		this.size = size;
		this.level = Math.min(this.level, size.poolTokens);
	}

	/** Tokens that are there; less than zero after an overdraft. */
	readLevel(now: MonotonicMs): number {
		this.fill(now);
		return this.level;
	}

	/** Tokens that are missing for a charge of `tokens`. */
	measureShortage(tokens: number, now: MonotonicMs): number {
		this.fill(now);
		return Math.max(0, tokens - this.level);
	}

	/** Lent tokens may exceed the burst for a moment; they are kept, but nothing is earned on top. */
	private fill(now: MonotonicMs): void {
		const earned = Math.max(0, now - this.filledAt) * this.size.tokensPerMs;
		this.filledAt = now > this.filledAt ? now : this.filledAt;
		if (this.level < this.size.burstTokens) {
			this.level = Math.min(this.size.burstTokens, this.level + earned);
		}
	}
}
