/**
 * Decides what of the answers of a call's attempts goes to the caller.
 *
 * An attempt that is alone passes its answer on as it comes. While two are in flight, the head of an answer doesn't tell which
 * of them will finish: a target may be silent, break off or end without an event after its head. So both go on until one holds
 * content that the caller can use.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {CallAttempts} from '../call-attempts/index.js';
import type {CallMove} from '../call-move/index.js';
import type {ResponseRelay} from '../response-relay/index.js';
import type {Attempt} from '../session-types/index.js';
import type {StreamOrigin} from '../stream-origin/index.js';

/** The call whose answers are passed on. */
export type AnsweredCall = {
	readonly attempts: CallAttempts;
	readonly relay: ResponseRelay;
	readonly move: CallMove;
	readonly origin: StreamOrigin;
};

/** Passes the answers of one call on. */
export class AnswerForwarder {
	constructor(private readonly call: AnsweredCall) {}

	/**
	 * Passes on what the answer of `attempt` holds, if its turn has come. The first event that the caller gets binds its stream
	 * to the target's software. Returns whether the caller has the whole answer.
	 */
	forward(attempt: Attempt, now: MonotonicMs): boolean {
		const {relay, origin} = this.call;
		const {answer, target} = attempt;
		if (answer === undefined || !this.mayPass(attempt, now) || !answer.isReady) {
			return false;
		}

		if (answer.isResumable && answer.hasContent) {
			origin.recordEvent(target);
		}

		if (!relay.pass(answer)) {
			this.pause(attempt);
		}

		return answer.hasEnded;
	}

	/** Whether `attempt` is the one that goes on. Its content ends the other attempt. */
	private mayPass(attempt: Attempt, now: MonotonicMs): boolean {
		const {attempts, move, relay} = this.call;
		const answer = attempt.answer!;
		const rival = attempts.findOther(attempt);
		if (rival === undefined) {
			return true;
		}

		const isLatest = relay.isLatest(answer);
		const isEnd = answer.hasEnded && (isLatest || rival.answer?.hasEnded === true);
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
