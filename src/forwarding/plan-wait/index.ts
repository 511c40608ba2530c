/** Decides whether a call that finds no usable target waits for one, or is rejected at once. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import {addRetryAfterJitter, buildShortRetryAfter} from '../add-retry-after-jitter/index.js';
import {estimateTargetWait, type TargetWait} from '../estimate-target-wait/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {listCandidates} from '../list-candidates/index.js';
import type {TargetSelection} from '../select-target/index.js';
import type {SessionOptions} from '../session-types/index.js';
import type {StreamOrigin} from '../stream-origin/index.js';

/** A call without a usable target. */
export type WaitingCall = {
	readonly session: SessionOptions;
	readonly selection: TargetSelection;
	readonly deadline: MonotonicMs;
	/** When the call arrived or, once its stream has begun, when the stream broke off. */
	readonly since: MonotonicMs;
	/** Whether any target may have run the call. */
	readonly mayHaveRun: boolean;
};

/** The longest wait, in milliseconds, or the error with which the call ends. */
export type WaitPlan = {readonly type: 'wait'; readonly longestMs: number} | {readonly type: 'reject'; readonly error: RouterError};

/** Longest wait for a usable target, as a fraction of the latency goal. */
const targetWaitFraction = 0.6;
/** Minimum wait of a stream for a target of its software version, in milliseconds; no other target can serve it. */
const boundStreamWaitMs = 1000;
/** Time after the end of a pause over which callers return, in seconds. */
const returnSpreadSeconds = 1;
const msPerSecond = 1000;

/**
 * Plans the wait, up to a fraction of the latency goal. A call that the limits or pauses of all targets keep back
 * for longer is rejected, and at once a stream of a software version that no target serves any more.
 */
export function planWait(call: WaitingCall, context: ForwardingContext, now: MonotonicMs): WaitPlan {
	const {selection, mayHaveRun} = call;
	if (selection.origin.isBound && listCandidates(selection, context.fleet).length === 0) {
		return {type: 'reject', error: createSoftwareGoneError(selection.origin, mayHaveRun)};
	}

	const waitEnd = calculateWaitEnd(call);
	const wait = estimateTargetWait(selection, context, now);
	return now + (wait?.ms ?? 0) >= waitEnd
		? {type: 'reject', error: createNoTargetError(mayHaveRun, context.draw(), wait)}
		: {type: 'wait', longestMs: waitEnd - now};
}

/** Calculates until when a call waits for a usable target. */
function calculateWaitEnd({session: {route}, selection, since, deadline}: WaitingCall): MonotonicMs {
	const waitMs = route.latencyGoalMs * targetWaitFraction;
	return Math.min(since + (selection.origin.isBound ? Math.max(waitMs, boundStreamWaitMs) : waitMs), deadline) as MonotonicMs;
}

function createSoftwareGoneError(origin: StreamOrigin, mayHaveRun: boolean): RouterError {
	const detail = `version ${origin.read()}`;
	return mayHaveRun
		? createRouterError('outcomeUnknown', `no target serves the software that began the stream: ${detail}`)
		: createRouterError('softwareGone', detail);
}

/**
 * Creates the error of a call that no target can take in time; `draw` is a random number in [0, 1). `wait` is the estimated
 * wait if all targets want no requests, or are at the limits that they state.
 */
function createNoTargetError(mayHaveRun: boolean, draw: number, wait?: TargetWait): RouterError {
	if (mayHaveRun) {
		return createRouterError('outcomeUnknown', 'no other target is usable');
	}

	if (wait === undefined) {
		return createRouterError('noTarget', undefined, buildShortRetryAfter(draw));
	}

	const seconds = wait.ms / msPerSecond;
	// The end of a pause is known, so callers are only spread over the time after it.
	return wait.reason === 'paused'
		? createRouterError('targetsPaused', undefined, {retryAfterSeconds: seconds + (draw * returnSpreadSeconds)})
		: createRouterError('targetsLimited', undefined, {retryAfterSeconds: addRetryAfterJitter(seconds, draw)});
}
