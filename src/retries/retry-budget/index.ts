/**
 * Retry budget of one service at one instance. It never grants more in a window than its share, and starts empty.
 *
 * Retries come from two sources. Each call adds a fraction of a retry, which can be used for as long as the call is in the
 * window. The share also has extra retries: one part of them can be saved, and the rest is added in the course of a
 * window, so that a window never has more than both. A new process has saved nothing, so together with the process before it, it
 * stays within one share.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {RetryGate} from '../retry-gate/index.js';
import {WindowedSum} from '../windowed-sum/index.js';

/** Share of one instance in the retries of a service. */
export type RetryShare = {
	/** Retries for each call. */
	readonly retriesPerCall: number;
	/** Further retries in any window; not necessarily a whole number. */
	readonly extraRetries: number;
	readonly windowMs: number;
};

/** Fraction of the extra retries that can be saved. */
const savedRatio = 0.5;

/** Retries of one service. */
export class RetryBudget implements RetryGate {
	/** Retries taken and refused since the start. */
	readonly counts = {taken: 0, refused: 0};
	private share: RetryShare;
	private calls: WindowedSum;
	/** Retries that calls have paid for. */
	private paidByCalls: WindowedSum;
	/** Extra retries that are available. */
	private extra = 0;

	/** `readShare` returns the present share, which follows the settings and the number of instances. */
	constructor(private readonly readShare: () => RetryShare, private filledAt: MonotonicMs) {
		this.share = readShare();
		this.calls = new WindowedSum(this.share.windowMs);
		this.paidByCalls = new WindowedSum(this.share.windowMs);
	}

	recordCall(now: MonotonicMs): void {
		this.refill(now);
		this.calls.add(1, now);
	}

	withdrawCall(now: MonotonicMs): void {
		this.refill(now);
		this.calls.add(-1, now);
	}

	take(now: MonotonicMs): boolean {
		this.refill(now);
		const fromCalls = Math.min(1, this.countEarned(now));
		if (fromCalls + this.extra < 1) {
			this.counts.refused += 1;
			return false;
		}

		this.paidByCalls.add(fromCalls, now);
		this.extra -= 1 - fromCalls;
		this.counts.taken += 1;
		return true;
	}

	refund(now: MonotonicMs): void {
		this.refill(now);
		// As a retry of calls, it is lost with the window unless it is used.
		this.paidByCalls.add(-1, now);
		this.counts.taken -= 1;
	}

	readLevel(now: MonotonicMs): number {
		this.refill(now);
		return this.countEarned(now) + this.extra;
	}

	/** Counts the retries that calls of the window have added and that were not taken. */
	private countEarned(now: MonotonicMs): number {
		return Math.max(0, (this.calls.sumWithin(now) * this.share.retriesPerCall) - this.paidByCalls.sumCovering(now));
	}

	/** Adds the extra retries for the time since the last use, and applies a changed share. */
	private refill(now: MonotonicMs): void {
		const share = this.readShare();
		// Nothing tells when a larger share has become valid, so the smaller one counts until now.
		const extraRetries = Math.min(share.extraRetries, this.share.extraRetries);
		const added = extraRetries * (1 - savedRatio) * Math.max(0, now - this.filledAt) / share.windowMs;
		this.extra = Math.min(this.extra + added, share.extraRetries * savedRatio);
		this.filledAt = Math.max(this.filledAt, now) as MonotonicMs;
		// A window of another length begins without calls and without retries, as that of a new process does.
		if (share.windowMs !== this.share.windowMs) {
			this.calls = new WindowedSum(share.windowMs);
			this.paidByCalls = new WindowedSum(share.windowMs);
		}

		this.share = share;
	}
}
