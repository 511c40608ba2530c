/** Passes a chunk of a target's response on to the caller. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ResponseRelay} from '../response-relay/index.js';
import type {Attempt} from '../session-types/index.js';

/** Passes `chunk` on and records progress. The target is paused while the caller does not read. Throws a `RangeError` if an event is too large. */
export function passChunk(attempt: Attempt, relay: ResponseRelay, chunk: Buffer, now: MonotonicMs): void {
	const {canContinue, hasProgress} = relay.addChunk(attempt.head!, chunk);
	if (hasProgress) {
		attempt.lastProgressAt = now;
	}

	if (!canContinue) {
		attempt.exchange?.pause();
		relay.onDrain(() => {
			attempt.exchange?.resume();
		});
	}
}
