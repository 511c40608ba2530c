/** Decides whether a call that finds no usable target waits for one, or is rejected at once. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import {addRetryAfterJitter, buildShortRetryAfter} from '../add-retry-after-jitter/index.js';
import {estimatePermitWaitMs} from '../estimate-permit-wait/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import type {TargetSelection} from '../select-target/index.js';
import type {SessionOptions} from '../session-types/index.js';

/** A call without a usable target. */
export type WaitingCall = {
	readonly session: SessionOptions;
	readonly selection: TargetSelection;
	readonly deadline: MonotonicMs;
	/** Whether any target may have run the call. */
	readonly mayHaveRun: boolean;
};

/** The longest wait, in milliseconds, or the error with which the call ends. */
export type WaitPlan = {readonly type: 'wait'; readonly longestMs: number} | {readonly type: 'reject'; readonly error: RouterError};

/** Longest wait for a usable target, as a fraction of the latency goal. */
const targetWaitFraction = 0.6;
const msPerSecond = 1000;

/** Plans the wait, up to a fraction of the latency goal. A call that the limits of all targets keep back for longer is rejected. */
export function planWait({
	session, selection, deadline, mayHaveRun,
}: WaitingCall, context: ForwardingContext, now: MonotonicMs): WaitPlan {
	const waitEnd = calculateWaitEnd(session, deadline);
	const permitWaitMs = estimatePermitWaitMs(selection, context, now);
	return now + (permitWaitMs ?? 0) >= waitEnd
		? {type: 'reject', error: createNoTargetError(mayHaveRun, context.draw(), permitWaitMs)}
		: {type: 'wait', longestMs: waitEnd - now};
}

/** Calculates until when a call waits for a usable target. */
function calculateWaitEnd({route, arrivedAt}: Pick<SessionOptions, 'route' | 'arrivedAt'>, deadline: MonotonicMs): MonotonicMs {
	return Math.min(arrivedAt + (route.latencyGoalMs * targetWaitFraction), deadline) as MonotonicMs;
}

/**
 * Creates the error of a call that no target can take in time; `draw` is a random number in [0, 1). `permitWaitMs` is the
 * estimated wait if all targets are at the limits that they state.
 */
function createNoTargetError(mayHaveRun: boolean, draw: number, permitWaitMs?: number): RouterError {
	if (mayHaveRun) {
		return createRouterError('outcomeUnknown', 'no other target is usable');
	}

	return permitWaitMs === undefined
		? createRouterError('noTarget', undefined, buildShortRetryAfter(draw))
		: createRouterError('targetsLimited', undefined, {retryAfterSeconds: addRetryAfterJitter(permitWaitMs / msPerSecond, draw)});
}
