/** Decides whether a call is retried after an attempt without a usable response. */

import type {ResultName} from '../../results/result-codes/index.js';

/**
 * How an attempt failed.
 *
 * - `notSent`: no byte was sent.
 * - `notRun`: the target stated that it did not run the call.
 * - `unknown`: the target may have run the call.
 * - `broken`: the response was interrupted after part of it had been forwarded.
 */
export type AttemptFailure = 'notSent' | 'notRun' | 'unknown' | 'broken';

/** Inputs to the decision. */
export type NextStepQuery = {
	readonly failure: AttemptFailure;
	/** Whether the call may run again, from its beginning or from the last event forwarded. */
	readonly isRepeatable: boolean;
	/** Attempts so far that may have run. */
	readonly runs: number;
	/** Limit of the route for `runs`. */
	readonly maximumRuns: number;
	/** Attempts so far, including those that did not run. */
	readonly attempts: number;
	readonly remainingMs: number;
	/** Takes one retry from the retry budget of the service; returns whether one was left. */
	readonly takeRetry: () => boolean;
};

/** The next step: another attempt, or the final result. */
export type NextStep = {readonly type: 'retry'} | {readonly type: 'give up'; readonly result: ResultName};

/** Limit on all attempts of a call; even a rejected attempt costs its target work. */
export const maximumAttemptsPerCall = 4;
/** Minimum remaining time for another attempt; less is too short to get a response. */
const minimumAttemptMs = 15;

/** Plans the step after a failed attempt. */
export function planNextStep(query: NextStepQuery): NextStep {
	const isSafeToRetry = isNotRun(query.failure) || (query.isRepeatable && query.runs < query.maximumRuns);
	const hasTime = query.remainingMs > minimumAttemptMs && query.attempts < maximumAttemptsPerCall;
	// A call that was never sent put no load on the service, so retrying it is not charged to the retry budget.
	if (isSafeToRetry && hasTime && (query.failure === 'notSent' || query.takeRetry())) {
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

/** Whether no target ran the call in an attempt that failed in this way. */
export function isNotRun(failure: AttemptFailure): boolean {
	return failure === 'notSent' || failure === 'notRun';
}
