/** Detects stalled attempts, so that a repeatable call can move to another target. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {Attempt} from '../session-types/index.js';

/**
 * Time without a complete event after which another target continues a stream, if its target sends nothing at all
 * or sends bytes that complete no event.
 */
const streamStallTimeoutMs = 1000;
/** Time without a response after which a call leaves a silent target. */
const responseTimeoutMs = 1200;

/** Whether the attempt waits for a target that sends no usable data. A slow target that responds to other calls is not silent. */
export function isAttemptStalled({target, record, lastReceivedAt, lastProgressAt, head}: Attempt, now: MonotonicMs): boolean {
	if (head === undefined) {
		return now - record.sentAt > responseTimeoutMs && target.isSilent(now);
	}

	const isTargetSilent = now - target.readLastReceivedAt() > streamStallTimeoutMs;
	const isTrickling = lastReceivedAt > lastProgressAt;
	return now - lastProgressAt > streamStallTimeoutMs && (isTargetSilent || isTrickling);
}
