/** What one body takes of the memory for bodies, and how quickly its caller sends it. */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Why a body is refused: the memory for bodies is used up, or its caller sent nothing for too long. */
export type RefusalReason = 'memory' | 'stalled';

/** Time constant of the average of the rate, in milliseconds. */
const rateTimeConstantMs = 1000;

/** A body from the arrival of its call's head to the end of the call. */
export class BodyHolding {
	/** Memory that it takes. */
	heldBytes = 0;
	/** Length of the part that has arrived. */
	sizeBytes = 0;
	/** Length when the body was last observed. */
	private observedBytes = 0;
	/** Average rate at the last observation, in bytes per millisecond. */
	private averageRate = 0;
	private progressAt: MonotonicMs;

	/** `refuse` is called at most once, and only while the body is being read. */
	constructor(readonly refuse: (reason: RefusalReason) => void, private observedAt: MonotonicMs) {
		this.progressAt = observedAt;
	}

	/** Updates the average rate by what has arrived since the last time. */
	observe(now: MonotonicMs): void {
		const arrivedBytes = this.sizeBytes - this.observedBytes;
		this.averageRate = this.readRate(now) + (arrivedBytes / rateTimeConstantMs);
		this.observedAt = now;
		this.observedBytes = this.sizeBytes;
		if (arrivedBytes > 0) {
			this.progressAt = now;
		}
	}

	/** Returns the average rate of arrival, in bytes per millisecond; older bytes count less. */
	readRate(now: MonotonicMs): number {
		return this.averageRate * Math.exp((this.observedAt - now) / rateTimeConstantMs);
	}

	/** Time for which nothing has arrived, in milliseconds. */
	readSilenceMs(now: MonotonicMs): number {
		return now - this.progressAt;
	}
}
