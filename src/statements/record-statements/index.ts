/**
 * Records what the head of an answer says of its target. Each kind of statement has a rule; each rule says how far the
 * statement carries, how it ends, and what a malformed value does. A target that restarts under the same id is another
 * target, of which nothing has been stated.
 */

import type {ResponseHead} from '../../forwarding/call-types/index.js';
import type {Attempt} from '../../forwarding/session-types/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {recordBrittleness} from '../record-brittleness/index.js';
import {recordLeaving} from '../record-leaving/index.js';
import {recordPause} from '../record-pause/index.js';
import {recordRequestLimit} from '../record-request-limit/index.js';
import type {StatementContext, StatementRule} from '../statement-rule/index.js';

/** Status of a refusal for want of room. */
const fullStatus = 503;

const rules: readonly StatementRule[] = [recordRequestLimit, recordBrittleness, recordLeaving, recordPause];

/** Records the statements in a head that was received at `now`, unless it may come from another target or belong to another call. */
export function recordStatements(attempt: Attempt, head: ResponseHead, context: StatementContext, now: MonotonicMs): void {
	const {status, statements, isGenuine, isNotRun, isOtherTarget} = head;
	if (!isGenuine && (!isNotRun || isOtherTarget)) {
		return;
	}

	for (const record of rules) {
		record({
			attempt, statements, isRefusal: !isGenuine, isOutOfRoom: isNotRun && status === fullStatus, receivedAt: now,
		}, context);
	}
}
