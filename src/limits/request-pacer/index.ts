/** Paces requests to a rate. It starts empty and saves up little, so that no span of time gets much more than the rate. */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Time for which unused requests are saved up by default, in milliseconds; at least one request is. */
const defaultSavedMs = 250;
const msPerSecond = 1000;

/** Pacer of the requests to one target. */
export class RequestPacer {
	private level = 0;
	private refilledAt: MonotonicMs;

	constructor(private requestsPerSecond: number, now: MonotonicMs, private readonly savedMs = defaultSavedMs) {
		this.refilledAt = now;
	}

	/** Changes the rate, in requests per second; what was saved up at the old one counts at most up to the new limit. */
	setRate(requestsPerSecond: number, now: MonotonicMs): void {
		this.refill(now);
		this.requestsPerSecond = requestsPerSecond;
		this.refill(now);
	}

	/** Puts back requests that were taken and not sent. */
	refund(count: number, now: MonotonicMs): void {
		this.refill(now);
		this.level = Math.min(this.capacity, this.level + count);
	}

	/** Discards what was saved up. */
	clear(now: MonotonicMs): void {
		this.refill(now);
		this.level = 0;
	}

	/** Highest number of requests that can be taken at once. */
	get capacity(): number {
		return Math.max(1, this.requestsPerSecond * this.savedMs / msPerSecond);
	}

	/** Takes up to `count` requests; returns how many the rate allows now. */
	take(count: number, now: MonotonicMs): number {
		this.refill(now);
		const taken = Math.min(count, Math.floor(this.level));
		this.level -= taken;
		return taken;
	}

	/** Calculates the time until `count` requests have become free one after the other, in whole milliseconds. */
	calculateWaitMs(count: number, now: MonotonicMs): number {
		this.refill(now);
		// A fraction of a millisecond could be too small to change the time, and would be waited for without end.
		return Math.ceil(Math.max(0, (count - this.level) / this.requestsPerSecond * msPerSecond));
	}

	private refill(now: MonotonicMs): void {
		const elapsedMs = Math.max(0, now - this.refilledAt);
		this.level = Math.min(this.capacity, this.level + (elapsedMs * this.requestsPerSecond / msPerSecond));
		this.refilledAt = now;
	}
}
