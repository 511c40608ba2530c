/** A rate of tokens over the last second or so, in which older tokens count less. */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Time in which the weight of tokens falls to 1 / e, in milliseconds. */
export const rateDecayMs = 1000;

/** Decayed rate. */
export class DecayedRate {
	private tokens = 0;
	private updatedAt = 0;

	/** Adds tokens at `now`. */
	add(tokens: number, now: MonotonicMs): void {
		this.tokens = this.decayTokens(now) + tokens;
		this.updatedAt = now;
	}

	/** Returns the rate in tokens per millisecond. */
	read(now: MonotonicMs): number {
		return this.decayTokens(now) / rateDecayMs;
	}

	private decayTokens(now: MonotonicMs): number {
		return this.tokens * Math.exp(Math.min(0, this.updatedAt - now) / rateDecayMs);
	}
}
