/** The smallest of the recent values, kept for one to two periods. */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Minimum of the values of the present and the previous period. */
export class RecentMinimum {
	private present = Infinity;
	private previous = Infinity;
	private periodStart = 0;

	constructor(private readonly periodMs: number) {}

	/** Adds a value. */
	add(value: number, now: MonotonicMs): void {
		this.advance(now);
		this.present = Math.min(this.present, value);
	}

	/** Returns the minimum; infinite without a value. */
	read(now: MonotonicMs): number {
		this.advance(now);
		return Math.min(this.present, this.previous);
	}

	private advance(now: MonotonicMs): void {
		const elapsedMs = now - this.periodStart;
		if (elapsedMs >= this.periodMs) {
			this.previous = elapsedMs < 2 * this.periodMs ? this.present : Infinity;
			this.present = Infinity;
			this.periodStart = now;
		}
	}
}
