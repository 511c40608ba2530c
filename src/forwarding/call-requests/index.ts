/**
 * The requests of one call that may have reached targets, at this instance and at those that passed the call on. The first
 * one is free and adds to the retry budget of the service; for each further one, the instance that sends it takes a retry.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {RetryGate} from '../../retries/retry-gate/index.js';

/** What other instances have sent of a call before it came to this one. */
export type PriorRequests = {
	/** Requests that may have reached targets; 0 for a call that came from its caller. */
	readonly count: number;
	/** Retries that were taken for requests of this instance. */
	readonly reservedRetries: number;
};

/** For a call that came from its caller. */
export const noPriorRequests: PriorRequests = {count: 0, reservedRetries: 0};

/** Counts the requests of one call, and takes retries for them. */
export class CallRequests {
	private sent: number;
	/** Retries that were taken and are not yet sent. */
	private reserved: number;

	constructor(prior: PriorRequests, private readonly retries: RetryGate) {
		this.sent = prior.count;
		this.reserved = prior.reservedRetries;
	}

	/** Number of requests that may have reached targets. */
	get count(): number {
		return this.sent;
	}

	/** Takes a retry for the next request unless it is the first one or a retry is reserved; returns whether it may be sent. */
	reserve(now: MonotonicMs): boolean {
		if (this.sent > 0 && this.reserved === 0 && this.retries.take(now)) {
			this.reserved = 1;
		}

		return this.sent === 0 || this.reserved > 0;
	}

	/** Records that a request is sent. */
	recordSent(now: MonotonicMs): void {
		if (this.sent === 0) {
			this.retries.recordCall(now);
		} else {
			this.reserved = Math.max(0, this.reserved - 1);
		}

		this.sent += 1;
	}

	/** Records that a request did not reach its target, so that the next one is not charged again. */
	recordNotSent(now: MonotonicMs): void {
		this.sent -= 1;
		if (this.sent === 0) {
			this.retries.withdrawCall(now);
		} else {
			this.reserved += 1;
		}
	}

	/** Returns the retries that were taken and not sent, because the call has ended. */
	end(now: MonotonicMs): void {
		for (; this.reserved > 0; this.reserved -= 1) {
			this.retries.refund(now);
		}
	}
}
