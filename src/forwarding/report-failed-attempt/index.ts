/** Writes the log line of an attempt without a usable answer. */

import type {RequestId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {CallGuard} from '../call-guard/index.js';
import {isNotRun, type AttemptFailure, type NextStep} from '../plan-next-step/index.js';
import type {Attempt} from '../session-types/index.js';

/** The step after a failed attempt; `other attempt`: the call goes on with the other one that is in flight. */
export type FollowingStep = NextStep | {readonly type: 'other attempt'};

/** A failed attempt and what follows. */
export type FailedAttemptReport = {
	readonly id: RequestId;
	readonly attempt: Attempt;
	/** Attempts of the call so far. */
	readonly attempts: number;
	readonly failure: AttemptFailure;
	readonly reason: string;
	readonly step: FollowingStep;
	readonly guard: CallGuard;
};

/** Reports a failed attempt. Where the call may have run, the line names the whole request, so that its repeats can be found. */
export function reportFailedAttempt(logger: EventLogger, report: FailedAttemptReport): void {
	const {
		id, attempt, attempts, failure, reason, step, guard,
	} = report;
	logger.info('attempt failed', {
		id, target: attempt.target.description.id, software: attempt.target.description.softwareVersion, attempt: attempts, failure, reason, step: step.type,
		request: isNotRun(failure) ? undefined : guard.readRequestKey(),
	});
}
