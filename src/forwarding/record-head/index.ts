/** Records the head of an answer: at the attempt, and what it says about its target. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ResponseHead} from '../call-types/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {recordStatements} from '../../statements/record-statements/index.js';
import type {Attempt} from '../session-types/index.js';

const okStatus = 200;

/** Records a head that was received at `now` for a call to `model`. */
export function recordHead(attempt: Attempt, head: ResponseHead, model: string | undefined, context: ForwardingContext, now: MonotonicMs): void {
	attempt.head = head;
	attempt.lastReceivedAt = now;
	attempt.lastProgressAt = now;
	attempt.target.recordVersion(model, head.weightsVersion);
	if (head.status === okStatus && head.isGenuine && !head.isNotRun) {
		attempt.target.learnSpeed(attempt.record, now);
	}

	recordStatements(attempt, head, context, now);
}
