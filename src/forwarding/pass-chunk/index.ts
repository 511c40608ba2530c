/** Passes a chunk of a target's response on to the caller. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ResponseRelay} from '../response-relay/index.js';
import type {Attempt} from '../session-types/index.js';
import type {StreamOrigin} from '../stream-origin/index.js';

/** The answer that the caller gets, and the software that its stream is bound to. */
export type PassedStream = {readonly relay: ResponseRelay; readonly origin: StreamOrigin};

/**
 * Passes `chunk` on and records progress; returns whether the answer has come closer to its end. The first event that the caller
 * gets binds its stream to the target's software. The target is paused while the caller does not read. Throws a `RangeError` if
 * an event is too large.
 */
export function passChunk(attempt: Attempt, {relay, origin}: PassedStream, chunk: Buffer, now: MonotonicMs): boolean {
	const {canContinue, hasProgress} = relay.addChunk(attempt.head!, chunk);
	if (hasProgress) {
		attempt.lastProgressAt = now;
	}

	if (relay.isResumable && relay.passedBytes > 0) {
		origin.recordEvent(attempt.target);
	}

	if (!canContinue) {
		attempt.isPaused = true;
		attempt.exchange?.pause();
		relay.onDrain(() => {
			attempt.isPaused = false;
			attempt.exchange?.resume();
		});
	}

	return hasProgress;
}
