/** Collects what the decision after a failed attempt depends on. */

import type {CallGuard} from '../call-guard/index.js';
import type {CallRequests} from '../call-requests/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {AttemptFailure, NextStepQuery} from '../plan-next-step/index.js';
import type {ResponseRelay} from '../response-relay/index.js';
import {isRepeatable} from '../../routing/is-repeatable/index.js';
import type {SessionOptions} from '../session-types/index.js';

/** State of the call after the attempt. */
export type FailedAttempt = {
	readonly failure: AttemptFailure;
	readonly session: SessionOptions;
	readonly requests: CallRequests;
	readonly relay: ResponseRelay;
	readonly guard: CallGuard;
	readonly runs: number;
	readonly attempts: number;
};

/** Builds the query. A call that may crash the next target isn't repeatable. */
export function buildStepQuery(attempt: FailedAttempt, now: MonotonicMs): NextStepQuery {
	const {
		failure, session, requests, relay, guard, runs, attempts,
	} = attempt;
	return {
		failure,
		isRepeatable: isRepeatable(session.route) && (!relay.hasBegun || relay.isResumable) && !guard.isSuspicious(now),
		runs,
		maximumRuns: session.route.maximumAttempts,
		attempts,
		remainingMs: session.deadline.read() - now,
		takeRetry: () => requests.reserve(now),
	};
}
