/**
 * Rate at which requests are issued to a brittle target: one that falls over if it has to turn away more than a stated
 * number of requests in a second for want of room.
 *
 * Its room is unknown and may shrink. The rate is learned from refusals, by additive increase and multiplicative decrease,
 * and is bounded by what may still be refused when the first refusal is reported. See docs/brittle-targets.md.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Part of the stated refusals a second that may have been reported in the last second before the issuer holds back. */
const toleratedShare = 0.25;
/** Rate while it holds back, per stated refusal a second. */
const heldBackShare = 0.25;
/** First rate, per stated refusal a second. */
const initialShare = 2;
/** Highest rate, per stated refusal a second. */
const maximumShare = 5;
/** Number of stated refusals from which on two requests may be refused before the first refusal is reported. */
const smallestPair = 2;
/** Highest rate below that number, per stated refusal a second. */
const maximumShareWithoutPair = 2;

/** Factor by which the rate rises in a second before the first refusal. */
const initialGrowthFactor = 2;
/** Rise of the rate in a second after the first refusal: a part of the rate, and a part of the stated refusals a second. */
const growthFactor = 1.1;
const growthShare = 0.125;
/** Factor by which a refusal reduces the rate. */
const decreaseFactor = 0.8;
/** Time within which refusals reduce the rate only once, in milliseconds: they have the same cause. */
const decreaseIntervalMs = 100;
const windowMs = 1000;

/** Learned rate for one target. */
export class BrittleRate {
	private requestsPerSecond: number | undefined;
	private updatedAt: MonotonicMs;
	private decreasedAt = Number.NEGATIVE_INFINITY;
	private hasRefused = false;
	/** Times of the refusals that were reported in the last second. */
	private refusedAt: MonotonicMs[] = [];

	constructor(now: MonotonicMs) {
		this.updatedAt = now;
	}

	/** Records that the target has refused a request for want of room. */
	recordRefused(now: MonotonicMs): void {
		this.hasRefused = true;
		this.refusedAt.push(now);
		if (now - this.decreasedAt >= decreaseIntervalMs) {
			this.decreasedAt = now;
			this.requestsPerSecond = this.requestsPerSecond === undefined ? undefined : this.requestsPerSecond * decreaseFactor;
		}
	}

	/** Whether so many refusals have been reported that requests are held back to the lowest rate. */
	isHoldingBack(refusalsPerSecond: number, now: MonotonicMs): boolean {
		this.refusedAt = this.refusedAt.filter(at => now - at <= windowMs);
		return this.refusedAt.length >= Math.max(1, Math.ceil(refusalsPerSecond * toleratedShare));
	}

	/** Calculates the rate at `now`, in requests per second, for a target that states `refusalsPerSecond`. */
	calculate(refusalsPerSecond: number, now: MonotonicMs): number {
		this.raise(refusalsPerSecond, now);
		const lowest = refusalsPerSecond * heldBackShare;
		return this.isHoldingBack(refusalsPerSecond, now) ? lowest : this.requestsPerSecond!;
	}

	private raise(refusalsPerSecond: number, now: MonotonicMs): void {
		const seconds = Math.max(0, now - this.updatedAt) / windowMs;
		this.updatedAt = now;
		const current = this.requestsPerSecond ?? refusalsPerSecond * initialShare;
		const grown = this.hasRefused
			? (current * (growthFactor ** seconds)) + (refusalsPerSecond * growthShare * seconds)
			: current * (initialGrowthFactor ** seconds);
		const share = refusalsPerSecond >= smallestPair ? maximumShare : maximumShareWithoutPair;
		this.requestsPerSecond = Math.max(refusalsPerSecond * heldBackShare, Math.min(refusalsPerSecond * share, grown));
	}
}
