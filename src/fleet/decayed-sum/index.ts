/** Sum whose parts lose half of their weight in each half-life. */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** A sum over the recent past. */
export class DecayedSum {
	private value = 0;
	private updatedAt = 0;

	constructor(private readonly halfLifeMs: number) {}

	/** Adds an amount. */
	add(amount: number, now: MonotonicMs): void {
		this.value = this.read(now) + amount;
		this.updatedAt = Math.max(this.updatedAt, now);
	}

	/** Returns the sum at `now`. */
	read(now: MonotonicMs): number {
		return this.value === 0 ? 0 : this.value * (0.5 ** (Math.max(0, now - this.updatedAt) / this.halfLifeMs));
	}

	/** Estimates how much is added in a second. */
	readPerSecond(now: MonotonicMs): number {
		return this.read(now) * Math.LN2 * 1000 / this.halfLifeMs;
	}

	/** Returns the sum and sets it to 0. */
	take(now: MonotonicMs): number {
		const value = this.read(now);
		this.value = 0;
		return value;
	}
}
