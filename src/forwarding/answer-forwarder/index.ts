/**
 * Decides what of the answers of a call's attempts goes to the caller.
 *
 * An attempt that is alone passes its answer on as it comes. While several are in flight, the head of an answer doesn't tell
 * which of them will finish: a target may be silent, break off or end without an event after its head. So all go on until one
 * holds content that the caller can use.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {CallMove} from '../call-move/index.js';
import type {CallParts} from '../call-parts/index.js';
import type {Attempt} from '../session-types/index.js';
import type {StreamOrigin} from '../stream-origin/index.js';

/** The call whose answers are passed on. */
export type AnsweredCall = Pick<CallParts, 'attempts' | 'relay'> & {
	readonly move: CallMove;
	readonly origin: StreamOrigin;
};

/** Maximum size of what one attempt sends without content while another one is in flight. */
const maximumHeldBytes = 256 * 1024;
/** Time without a byte after which an answer that has ended without content no longer waits for an attempt. Sound targets pause for less. */
const longestPauseMs = 2500;

/** Passes the answers of one call on. */
export class AnswerForwarder {
	constructor(private readonly call: AnsweredCall) {}

	/**
	 * Passes on what the answer of `attempt` holds, if its turn has come. The first event that the caller gets binds its stream
	 * to the target's software. Returns whether the caller has the whole answer. Throws a `RangeError` if too much is held back.
	 */
	forward(attempt: Attempt, now: MonotonicMs): boolean {
		const {answer} = attempt;
		if (answer === undefined) {
			return false;
		}

		if (this.mayPass(attempt, now)) {
			return answer.isReady && this.pass(attempt);
		}

		if (answer.heldBytes > maximumHeldBytes) {
			throw new RangeError(`the target sends more than ${maximumHeldBytes} bytes without content`);
		}

		return false;
	}

	private pass(attempt: Attempt): boolean {
		const {relay, origin} = this.call;
		const answer = attempt.answer!;
		if (answer.hasContent) {
			origin.recordEvent(attempt.target);
		}

		if (!relay.pass(answer)) {
			this.pause(attempt);
		}

		return answer.hasEnded;
	}

	/** Whether `attempt` is the one that goes on. Its content ends the other attempts. */
	private mayPass(attempt: Attempt, now: MonotonicMs): boolean {
		const {attempts, move, relay} = this.call;
		if (attempts.isAlone(attempt)) {
			return true;
		}

		const answer = attempt.answer!;
		const others = attempts.listOthers(attempt);
		const isLatest = relay.isLatest(answer);
		const isEnd = answer.hasEnded && (isLatest || (others.every(other => isSettled(other, now)) && isBestEnd(attempt, attempts.inFlight)));
		if (answer.hasContent || isEnd) {
			move.prefer(attempt, now);
			return true;
		}

		return isLatest;
	}

	/** Pauses a target until the caller has read what was passed on. */
	private pause(attempt: Attempt): void {
		attempt.isPaused = true;
		attempt.exchange?.pause();
		this.call.relay.onDrain(() => {
			attempt.isPaused = false;
			attempt.exchange?.resume();
		});
	}
}

/** Whether the answer is the one to pass on of those that have ended without content: the oldest with a body, else the oldest; errors come last. */
function isBestEnd(attempt: Attempt, inFlight: readonly Attempt[]): boolean {
	const ended = inFlight.filter(({answer}) => answer?.hasEnded === true);
	const successful = ended.filter(({answer}) => !answer!.isFallback);
	const candidates = successful.length > 0 ? successful : ended;
	return (candidates.find(({answer}) => answer!.receivedBytes > 0) ?? candidates[0]) === attempt;
}

/** Whether nothing is expected of an attempt any more: its answer has ended, or it has been silent for too long. */
function isSettled({answer, lastReceivedAt}: Attempt, now: MonotonicMs): boolean {
	return answer?.hasEnded === true || now - lastReceivedAt > longestPauseMs;
}
