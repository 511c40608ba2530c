/**
 * The time for which a target wants no request of this instance, and the return after it.
 *
 * Many calls may wait for the end of the pause. They don't return together: until the first call after the pause is
 * served, only one is at the target at a time.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Pause before the next call when the first one after a pause is refused without a pause, in milliseconds. */
const refusedReturnMs = 100;

/** Pause of one target. */
export class TargetPause {
	private until = Number.NEGATIVE_INFINITY;
	private isReturning = false;

	/** End of the pause; in the past if there is none. */
	readUntil(): MonotonicMs {
		return this.until as MonotonicMs;
	}

	/** Records that the target wants no request until a time. An earlier, longer pause stays. Returns whether a pause begins at `now`. */
	recordStated(until: MonotonicMs, now: MonotonicMs): boolean {
		const isNew = this.until <= now;
		this.until = Math.max(this.until, until);
		this.isReturning = true;
		return isNew;
	}

	/** Records a call that was sent at `sentAt` and refused at `now` without a pause. */
	recordRefused(sentAt: MonotonicMs, now: MonotonicMs): void {
		if (this.isReturning && sentAt >= this.until) {
			this.until = now + refusedReturnMs;
		}
	}

	/** Records that a call which was sent at `sentAt` ran. Returns whether that ends the return. */
	recordServed(sentAt: MonotonicMs): boolean {
		if (!this.isReturning || sentAt < this.until) {
			return false;
		}

		this.isReturning = false;
		return true;
	}

	/** Whether a request may be sent at `now`; `calls` are those at the target. */
	allows(calls: Iterable<{readonly sentAt: MonotonicMs}>, now: MonotonicMs): boolean {
		if (now < this.until) {
			return false;
		}

		return !this.isReturning || ![...calls].some(({sentAt}) => sentAt >= this.until);
	}
}
