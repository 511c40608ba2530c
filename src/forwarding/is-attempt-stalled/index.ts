/** Tells when a call that may be repeated should leave a target that has gone silent. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {Attempt} from '../session-types/index.js';

/** Silence of a stream and its target after which another one continues it, in milliseconds. */
const streamSilenceMs = 1000;
/** Time without an answer after which a call leaves a silent target, in milliseconds. */
const moveAfterMs = 1200;

/** Whether the attempt waits for a target from which nothing at all is heard. A slow target that answers other calls is not silent. */
export function isAttemptStalled({target, record, lastReceivedAt: heardAt, head}: Attempt, now: MonotonicMs): boolean {
	return head === undefined
		? now - record.sentAt > moveAfterMs && target.isSilent(now)
		: now - heardAt > streamSilenceMs && now - target.readHeardAt() > streamSilenceMs;
}
