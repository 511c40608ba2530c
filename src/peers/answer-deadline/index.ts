/**
 * Deadline of a call between instances. An answer that has begun may go on for longer than the timeout as long as its parts
 * keep arriving, so that a large answer on a thin link is not broken off and begun again.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {PeerCallTimeout} from '../peer-caller/index.js';

/** When a call ends unless its answer is complete. */
export class AnswerDeadline {
	private endsAt: number;
	private hasBegun = false;

	constructor(private readonly timeout: PeerCallTimeout, private readonly startedAt: MonotonicMs) {
		this.endsAt = startedAt + timeout.timeoutMs;
	}

	/** Records that a part of the answer has arrived. */
	recordPart(now: MonotonicMs): void {
		const {progress, onAnswerBegun} = this.timeout;
		if (!this.hasBegun) {
			this.hasBegun = true;
			onAnswerBegun?.();
		}

		if (progress !== undefined) {
			this.endsAt = Math.min(now + progress.silenceMs, this.startedAt + progress.maximumMs);
		}
	}

	/** Measures the time that is left, in milliseconds. */
	measureRemainingMs(now: MonotonicMs): number {
		return this.endsAt - now;
	}
}
