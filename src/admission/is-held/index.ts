/**
 * Tells whether room is held for a waiting call.
 *
 * Load pattern: a call with a long prompt waits while short ones fit into each piece of room that frees up, so that an engine never
 * has room for the long one.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {QueueEntry} from '../queued-call/index.js';

/** Cost of the later calls that may be sent before a call, as a multiple of its own cost. */
const passLimitFactor = 2;
/** Time for which room is held, in milliseconds. */
const holdMs = 250;

/**
 * Whether room is held for a call at `now`. The time begins when this is first asked after enough calls have passed, and is noted
 * in the entry. Room is held once, so that a call which fits nowhere doesn't stop all others.
 */
export function isHeld(entry: QueueEntry, now: MonotonicMs): boolean {
	if (entry.heldUntil === undefined && entry.passedTokens >= entry.call.costTokens * passLimitFactor) {
		entry.heldUntil = now + holdMs as MonotonicMs;
	}

	return entry.heldUntil !== undefined && now < entry.heldUntil;
}
