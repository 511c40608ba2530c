/**
 * Tells whether the process of a target may have been replaced by another one under the same id and address, which the list
 * of targets doesn't show yet.
 *
 * A connection that breaks is a sign that the process has ended. Bytes of a call that was sent before are proof that it goes on,
 * once those are read that had arrived before the break. Without either, the entry of a new process replaces that of the old one,
 * or the old one expires.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Time after the end or break of a connection in which bytes of others may still come from before it, in milliseconds. */
export const bufferedBytesMs = 50;
/** Time in which the list shows that a process has ended, also if the object API is down for a few seconds, in milliseconds. */
const suspicionMs = 10_000;

/** Signs of a restart of one target. */
export class RestartSuspicion {
	private brokenAt = Number.NEGATIVE_INFINITY;
	private lastBytes = {sentAt: Number.POSITIVE_INFINITY, at: Number.NEGATIVE_INFINITY};

	/** Records that a connection to the target broke, or could not be made, at `brokenAt`. */
	recordBreak(brokenAt: MonotonicMs): void {
		if (brokenAt > this.brokenAt && !this.hasGoneOnAfter(brokenAt)) {
			this.brokenAt = brokenAt;
		}
	}

	/** Records that bytes of the answer to a call that was sent at `sentAt` arrived. */
	recordBytes(sentAt: MonotonicMs, now: MonotonicMs): void {
		this.lastBytes = {sentAt, at: now};
		if (this.hasGoneOnAfter(this.brokenAt)) {
			this.brokenAt = Number.NEGATIVE_INFINITY;
		}
	}

	/** Whether another process may answer at the target's address. */
	isSuspected(now: MonotonicMs): boolean {
		return now - this.brokenAt < suspicionMs;
	}

	private hasGoneOnAfter(brokenAt: number): boolean {
		return this.lastBytes.sentAt < brokenAt && this.lastBytes.at > brokenAt + bufferedBytesMs;
	}
}
