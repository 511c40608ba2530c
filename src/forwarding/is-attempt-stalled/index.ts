/** Detects stalled attempts, so that a repeatable call can move to another target. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {Attempt} from '../session-types/index.js';

/** Time without data, both on the stream and from its target, after which another target continues the stream. */
const streamStallTimeoutMs = 1000;
/** Time without a response after which a call leaves a silent target. */
const responseTimeoutMs = 1200;

/** Whether the attempt waits for a target that sends no data at all. A slow target that responds to other calls is not silent. */
export function isAttemptStalled({target, record, lastReceivedAt, head}: Attempt, now: MonotonicMs): boolean {
	return head === undefined
		? now - record.sentAt > responseTimeoutMs && target.isSilent(now)
		: now - lastReceivedAt > streamStallTimeoutMs && now - target.readLastReceivedAt() > streamStallTimeoutMs;
}
