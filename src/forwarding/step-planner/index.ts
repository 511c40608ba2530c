/** Plans what follows the attempts of one call, and reports those that fail. */

import {buildStepQuery} from '../build-step-query/index.js';
import type {CallParts} from '../call-parts/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {planNextStep, type AttemptFailure, type NextStep} from '../plan-next-step/index.js';
import {reportFailedAttempt, type FollowingStep} from '../report-failed-attempt/index.js';
import type {Attempt} from '../session-types/index.js';

/** The call whose steps are planned. */
export type PlannedCall = Pick<CallParts, 'session' | 'attempts' | 'requests' | 'relay' | 'guard' | 'selection'>;

/** Plans the steps of one call. */
export class StepPlanner {
	constructor(private readonly call: PlannedCall, private readonly context: ForwardingContext) {}

	/** Plans the step after an attempt that fails, with which `runs` attempts may have run the call. Takes a retry if there is to be another attempt. */
	plan(failure: AttemptFailure, runs: number): NextStep {
		const {session, attempts: {count: attempts}, requests, relay, guard} = this.call;
		return planNextStep(buildStepQuery({
			failure, session, requests, relay, guard, runs, attempts,
		}, this.context.clock.readMonotonic()));
	}

	/** Plans the step after an attempt that has ended, and reports both. A call with another attempt in flight goes on with that one. */
	planAfter(attempt: Attempt, failure: AttemptFailure, reason: string): FollowingStep {
		const {oldest, runs} = this.call.attempts;
		const step: FollowingStep = oldest === undefined ? this.plan(failure, runs) : {type: 'other attempt'};
		this.report(attempt, {failure, reason, step});
		return step;
	}

	/** Reports an attempt that has ended, and the step after it. */
	report(attempt: Attempt, {failure, reason, step}: {readonly failure: AttemptFailure; readonly reason: string; readonly step: FollowingStep}): void {
		const {session: {call: {id}}, attempts: {count: attempts}, guard, selection} = this.call;
		selection.versions?.recordFailure(attempt, failure);
		reportFailedAttempt(this.context.logger, {
			id, attempt, attempts, failure, reason, step, guard,
		});
	}
}
