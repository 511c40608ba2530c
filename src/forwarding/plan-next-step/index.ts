/** Decides how a call goes on after an attempt that gave no usable answer. */

import type {ResultName} from '../../results/result-codes/index.js';

/**
 * How an attempt failed. `notSent`: no byte was sent; `notRun`: the target stated it; `unknown`: the target may
 * have run the call; `broken`: the answer broke off after its first bytes had been passed on.
 */
export type AttemptFailure = 'notSent' | 'notRun' | 'unknown' | 'broken';

/** What the decision rests on. */
export type NextStepQuery = {
	readonly failure: AttemptFailure;
	/** Whether the call may run more than once, from its beginning or from the last event passed on. */
	readonly isRepeatable: boolean;
	/** Attempts so far that may have run. */
	readonly runs: number;
	/** Targets that may run the call, by its route. */
	readonly maximumRuns: number;
	/** Attempts so far, also those that did not run. */
	readonly attempts: number;
	readonly remainingMs: number;
	/** Takes one retry from the budget of the service; returns whether there was one. */
	readonly takeRetry: () => boolean;
};

/** The next step: another attempt, or the final result. */
export type NextStep = {readonly type: 'retry'} | {readonly type: 'give up'; readonly result: ResultName};

/** Attempts of one call at most; each one that is rejected costs a target work. */
export const maximumAttemptsPerCall = 4;
/** Remaining time below which another attempt cannot be answered, in milliseconds. */
const shortestAttemptMs = 15;

/** Plans the step after a failed attempt. */
export function planNextStep(query: NextStepQuery): NextStep {
	const isSafe = isNotRun(query.failure) || (query.isRepeatable && query.runs < query.maximumRuns);
	const hasTime = query.remainingMs > shortestAttemptMs && query.attempts < maximumAttemptsPerCall;
	// What was never sent is no load on the service, so that sending it elsewhere needs no retry.
	if (isSafe && hasTime && (query.failure === 'notSent' || query.takeRetry())) {
		return {type: 'retry'};
	}

	return {type: 'give up', result: chooseResult(query)};
}

function chooseResult({failure, runs}: NextStepQuery): ResultName {
	if (failure === 'broken') {
		return 'streamBroken';
	}

	return isNotRun(failure) && runs === 0 ? 'targetRefused' : 'outcomeUnknown';
}

function isNotRun(failure: AttemptFailure): boolean {
	return failure === 'notSent' || failure === 'notRun';
}
