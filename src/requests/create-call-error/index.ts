/** Creates the error with which a completion ends after several attempts. */

import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';

/** What is known of all attempts. */
export type AttemptHistory = {
	/** Whether an engine may have run the request in any of them. */
	readonly mayHaveRun: boolean;
	/** Aborts with a `RouterError` when the caller has left or its deadline has passed. */
	readonly signal: AbortSignal;
};

/** Converts the error of the last attempt to one that is accurate for all attempts. */
export function createCallError(failure: RouterError, {mayHaveRun, signal}: AttemptHistory): RouterError {
	if (signal.aborted) {
		const reason = signal.reason as RouterError;
		const isDeadlineExceeded = reason.entry.name === 'targetTimeout';
		return isDeadlineExceeded && !mayHaveRun ? createRouterError('overloaded', 'the deadline passed before the request was sent') : reason;
	}

	if (mayHaveRun && failure.notRun) {
		return createRouterError('outcomeUnknown', `an earlier attempt may have run; the last one failed: ${failure.message}`, {cause: failure});
	}

	return failure;
}
