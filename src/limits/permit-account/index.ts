/** The permits of this instance for requests to one target, and its open ask for more. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {maximumPermitsPerAsk} from '../limit-messages/index.js';

/** Time for which a permit is valid, in milliseconds. Unused permits are lost; the target gets less than it takes. */
const permitValidityMs = 500;
/** Time after which an unanswered ask is repeated, in milliseconds. */
export const askTimeoutMs = 1000;

/** An ask that was sent. */
type OpenAsk = {readonly number: number; readonly expiresAt: MonotonicMs};

/** Permits for one target. */
export class PermitAccount {
	private permits = 0;
	private validUntil = Number.NEGATIVE_INFINITY;
	private openAsk: OpenAsk | undefined;
	/** Requests that wanted the target since the last ask. */
	private wanted = 0;
	private expectedAt: MonotonicMs | undefined;

	hasPermit(now: MonotonicMs): boolean {
		return this.permits > 0 && now < this.validUntil;
	}

	/** When the next permit is expected, as the issuer estimated it; undefined before its answer. */
	readExpectedAt(): MonotonicMs | undefined {
		return this.expectedAt;
	}

	/** Takes one permit; returns whether there was one. */
	take(now: MonotonicMs): boolean {
		const isAllowed = this.hasPermit(now);
		this.permits = isAllowed ? this.permits - 1 : 0;
		return isAllowed;
	}

	/** Gives up all permits; returns how many were valid. */
	drain(now: MonotonicMs): number {
		const count = this.hasPermit(now) ? this.permits : 0;
		this.permits = 0;
		return count;
	}

	recordWanted(): void {
		this.wanted += 1;
	}

	/** Opens an ask with `number`, unless one is open or permits are left. Returns the number of permits to ask for, 0 for none. */
	open(number: number, now: MonotonicMs): number {
		if (this.hasPermit(now) || (this.openAsk !== undefined && now < this.openAsk.expiresAt)) {
			return 0;
		}

		this.openAsk = {number, expiresAt: now + askTimeoutMs as MonotonicMs};
		const count = Math.min(maximumPermitsPerAsk, Math.max(1, this.wanted));
		this.wanted = 0;
		return count;
	}

	/** Adds granted permits. Returns false if the ask is not open any more: the permits are too old. */
	grant(number: number, count: number, now: MonotonicMs): boolean {
		if (!this.isOpen(number, now)) {
			return false;
		}

		this.openAsk = undefined;
		this.expectedAt = undefined;
		this.permits = count;
		this.validUntil = now + permitValidityMs;
		return true;
	}

	/** Records the wait that the issuer estimated. */
	recordWait(number: number, waitMs: number, now: MonotonicMs): void {
		if (this.isOpen(number, now)) {
			this.expectedAt = now + waitMs as MonotonicMs;
		}
	}

	private isOpen(number: number, now: MonotonicMs): boolean {
		return this.openAsk?.number === number && now < this.openAsk.expiresAt;
	}
}
