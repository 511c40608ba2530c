/**
 * What an instance knows of a number that one target states in its answers, such as a limit on requests.
 *
 * An answer that states a number always counts. An answer without one ends the statement only if its call was sent after
 * the number was last stated: the head of a slow answer may be older than the statement.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Number that one target states. */
export class StatedNumber {
	private value: number | undefined;
	private statedAt = Number.NEGATIVE_INFINITY;
	private endedAt = Number.NEGATIVE_INFINITY;

	/** The number in force; undefined if the target states none. */
	read(): number | undefined {
		return this.value;
	}

	/** When the target last stated a number. */
	readStatedAt(): MonotonicMs {
		return this.statedAt as MonotonicMs;
	}

	/** When the call was sent whose answer ended the last statement. */
	readEndedAt(): MonotonicMs {
		return this.endedAt as MonotonicMs;
	}

	/** Records a number stated in an answer that was received at `receivedAt`. Returns whether the number has changed. */
	recordStated(value: number, receivedAt: MonotonicMs): boolean {
		if (receivedAt <= this.statedAt || receivedAt <= this.endedAt) {
			return false;
		}

		const previous = this.value;
		this.statedAt = receivedAt;
		this.value = value;
		return previous !== value;
	}

	/** Records an answer without a number to a call that was sent at `sentAt`. Returns whether this ends a statement. */
	recordAbsent(sentAt: MonotonicMs): boolean {
		if (this.value === undefined || sentAt <= this.statedAt) {
			return false;
		}

		this.value = undefined;
		this.endedAt = sentAt;
		return true;
	}
}
