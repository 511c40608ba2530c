/**
 * Budget of the memory for bodies of callers. A body is charged as it arrives, and counts until its call has ended. When the
 * budget is used up, bodies that are still being read are refused; a call that has been read as a whole never is.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {BodyHolding, type RefusalReason} from '../body-holding/index.js';
import {calculateStallLimit} from '../calculate-stall-limit/index.js';
import {chooseBodyToRefuse} from '../choose-body-to-refuse/index.js';

/** Limits of the budget. */
export type BodyLimits = {
	/** Memory that all bodies together may take. */
	readonly heldBytes: number;
	/** Time for which a body may go without progress while no memory is held, in milliseconds. */
	readonly stallMs: number;
};

/** Bodies that hold no more than this may use the reserve, so that short calls are served beside long bodies. */
const shortBodyBytes = 16 * 1024;
/** Memory beyond the limit that is left to short bodies, as a fraction of it. */
const reserveRatio = 0.125;

/** Charges bodies, and refuses some when they take too much memory or stand still. */
export class BodyBudget {
	/** Memory that all bodies take. */
	heldBytes = 0;
	/** Memory that unread answers take; it is not left to bodies. */
	unreadBytes = 0;
	/** Bodies refused since the start. */
	readonly refusals: Record<RefusalReason | 'tooLarge', number> = {memory: 0, stalled: 0, tooLarge: 0};
	/** Memory that one body of the legal size takes; it is granted even if the budget is smaller. */
	private largestHoldingBytes = 0;
	/** All bodies whose calls have not ended. */
	private readonly holdings = new Set<BodyHolding>();
	private readonly reading = new Set<BodyHolding>();

	constructor(private readonly readLimits: () => BodyLimits) {}

	/** Bodies whose calls have not ended. */
	get count(): number {
		return this.holdings.size;
	}

	/** Whether bodies and unread answers take more than allowed. */
	get isExceeded(): boolean {
		return this.heldBytes + this.unreadBytes > this.limitBytes;
	}

	/** Memory that all bodies together may take. */
	private get limitBytes(): number {
		return Math.max(this.readLimits().heldBytes, this.largestHoldingBytes);
	}

	/** Begins a body that takes up to `limitBytes`. Call `release` when its call has ended. `refuse` is called at most once. */
	open(limitBytes: number, refuse: (reason: RefusalReason) => void, now: MonotonicMs): BodyHolding {
		this.largestHoldingBytes = limitBytes;
		const holding = new BodyHolding(refuse, now);
		this.holdings.add(holding);
		this.reading.add(holding);
		return holding;
	}

	/** Records the length that has arrived of a body, and the memory that it takes. Returns whether `refuseExcess` has to be called. */
	charge(holding: BodyHolding, sizeBytes: number, heldBytes: number): boolean {
		holding.sizeBytes = sizeBytes;
		this.setHeldBytes(holding, heldBytes);
		return this.isExceeded;
	}

	/** Refuses bodies until the others take no more memory than allowed. */
	refuseExcess(now: MonotonicMs): void {
		this.observe(now);
		while (this.isExceeded) {
			const isReserveUsed = this.heldBytes + this.unreadBytes > this.limitBytes * (1 + reserveRatio);
			const holding = chooseBodyToRefuse(this.reading, isReserveUsed ? 0 : shortBodyBytes, now);
			if (holding === undefined) {
				return;
			}

			this.refuse(holding, 'memory');
		}
	}

	/** Records that a body was read as a whole and takes `heldBytes` now. */
	complete(holding: BodyHolding, heldBytes: number): void {
		this.reading.delete(holding);
		this.setHeldBytes(holding, heldBytes);
	}

	/** Records that a call has ended, or that its body was dropped. Has no effect the second time. */
	release(holding: BodyHolding): void {
		if (this.holdings.delete(holding)) {
			this.reading.delete(holding);
			this.heldBytes -= holding.heldBytes;
			holding.heldBytes = 0;
		}
	}

	/** Refuses the bodies that have gone without progress for too long. */
	refuseStalled(now: MonotonicMs): void {
		this.observe(now);
		const limitMs = calculateStallLimit(this.readLimits().stallMs, this.heldBytes + this.unreadBytes, this.limitBytes);
		for (const holding of this.reading) {
			if (holding.readSilenceMs(now) > limitMs) {
				this.refuse(holding, 'stalled');
			}
		}
	}

	private setHeldBytes(holding: BodyHolding, heldBytes: number): void {
		if (this.holdings.has(holding)) {
			this.heldBytes += heldBytes - holding.heldBytes;
			holding.heldBytes = heldBytes;
		}
	}

	private observe(now: MonotonicMs): void {
		for (const holding of this.reading) {
			holding.observe(now);
		}
	}

	private refuse(holding: BodyHolding, reason: RefusalReason): void {
		this.refusals[reason] += 1;
		this.release(holding);
		holding.refuse(reason);
	}
}
