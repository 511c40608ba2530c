/**
 * What an instance knows of the limit on requests that one target states in its answers.
 *
 * An answer that states a limit always counts. An answer without one ends the limit only if its call was sent after the
 * limit was last stated: the head of a slow answer may be older than the limit.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Limit of one target. */
export class TargetLimit {
	private requestsPerSecond: number | undefined;
	private statedAt = Number.NEGATIVE_INFINITY;
	private endedAt = Number.NEGATIVE_INFINITY;

	/** Requests per second that the target takes from all instances together; undefined without a limit. */
	read(): number | undefined {
		return this.requestsPerSecond;
	}

	/** When the target last stated its limit. */
	readStatedAt(): MonotonicMs {
		return this.statedAt as MonotonicMs;
	}

	/** When the call was sent whose answer ended the last limit. */
	readEndedAt(): MonotonicMs {
		return this.endedAt as MonotonicMs;
	}

	/** Records a limit stated in an answer that was received at `receivedAt`. Returns whether the limit has changed. */
	recordStated(requestsPerSecond: number, receivedAt: MonotonicMs): boolean {
		if (receivedAt <= this.statedAt || receivedAt <= this.endedAt) {
			return false;
		}

		const previous = this.requestsPerSecond;
		this.statedAt = receivedAt;
		this.requestsPerSecond = requestsPerSecond;
		return previous !== requestsPerSecond;
	}

	/** Records an answer without a limit to a call that was sent at `sentAt`. Returns whether this ends a limit. */
	recordAbsent(sentAt: MonotonicMs): boolean {
		if (this.requestsPerSecond === undefined || sentAt <= this.statedAt) {
			return false;
		}

		this.requestsPerSecond = undefined;
		this.endedAt = sentAt;
		return true;
	}
}
