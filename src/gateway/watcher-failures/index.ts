/**
 * Remembers which watchers did not answer, or answered that the object API is interrupted for them. A follower leaves
 * them out of its turn for a while. The time varies, so that not all followers return to a watcher at the same moment.
 */

import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {RandomSource} from '../../random/random-source/index.js';

/** Mean time after a failed poll until the watcher is polled again, in milliseconds. */
const retryDelayMs = 2000;
/** Time for which a failed poll counts, unless an answer comes before, in milliseconds; longer than the time until the retry. */
const failureMemoryMs = 4000;
/** Time for which a watcher that is cut off from the object API is polled only if all others are as well, in milliseconds. */
const interruptedWatcherPauseMs = 2000;

type Failure = {readonly retryAt: number; readonly forgetAt: number};

/** Failures of watchers as one follower has seen them. */
export class WatcherFailures {
	private readonly failures = new Map<InstanceId, Failure>();
	private readonly interruptedUntil = new Map<InstanceId, number>();

	constructor(private readonly random: RandomSource) {}

	/** Records that a poll of a watcher failed or is late. */
	recordFailure(watcher: InstanceId, now: MonotonicMs): void {
		this.forgetExpired(now);
		this.failures.set(watcher, {retryAt: now + this.random.applyJitter(retryDelayMs), forgetAt: now + failureMemoryMs});
	}

	/** Records that a watcher has answered. */
	recordAnswer(watcher: InstanceId, isInterrupted: boolean, now: MonotonicMs): void {
		this.failures.delete(watcher);
		if (isInterrupted) {
			this.interruptedUntil.set(watcher, now + interruptedWatcherPauseMs);
		} else {
			this.interruptedUntil.delete(watcher);
		}
	}

	/** Whether the last poll of a watcher failed. */
	hasFailed(watcher: InstanceId, now: MonotonicMs): boolean {
		return now < (this.failures.get(watcher)?.forgetAt ?? 0);
	}

	/** Whether a watcher may be polled by turns. */
	isInTurn(watcher: InstanceId, now: MonotonicMs): boolean {
		return now >= (this.failures.get(watcher)?.retryAt ?? 0) && now >= (this.interruptedUntil.get(watcher) ?? 0);
	}

	private forgetExpired(now: MonotonicMs): void {
		for (const [watcher, {forgetAt}] of this.failures) {
			if (now >= forgetAt) {
				this.failures.delete(watcher);
			}
		}
	}
}
