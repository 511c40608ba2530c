/**
 * Decides whether a call that finds no room waits for it, or is refused.
 *
 * A refusal at once leaves the caller time to return, while one after a long wait costs it most of that time. A late answer is
 * worth less than a timely one, so a call waits beyond its latency goal only while the queue shrinks: calls that are not yet late
 * go before it, and it takes room that they don't need.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {QueuedCall} from '../queued-call/index.js';

/** Longest wait after which an answer within the latency goal is expected, as a fraction of the goal. */
const timelyWaitFraction = 0.6;
/** Time that a target needs to answer, as a fraction of the latency goal. */
const workFraction = 1 - timelyWaitFraction;
/** Wait that costs the caller nothing, as a fraction of the latency goal. */
const freeWaitFraction = 0.125;
/** Longest wait of a late call, as a fraction of the time until its deadline. */
const lateWaitFraction = 0.5;
/** Interval at which the wait of a late call is planned again, in milliseconds. */
const lateCheckMs = 250;

/** What is expected of the queue. */
export type QueueForecast = {
	/** Time until the call is sent if it goes in its turn, in milliseconds; undefined while the rate of service is unknown. */
	readonly waitMs: number | undefined;
	/** Time until the queue has been worked off, in milliseconds; undefined unless it shrinks. */
	readonly drainMs: number | undefined;
};

/** Why a call is refused: it would miss its deadline, or be late while newer calls take all room. */
export type AdmissionRefusal = 'deadline' | 'overload';

/** The call waits until a time, at which its wait is planned again, or is refused. */
export type AdmissionPlan = {readonly type: 'wait'; readonly until: MonotonicMs} | {readonly type: 'refuse'; readonly reason: AdmissionRefusal};

/** The part of a call that the plan depends on. */
export type PlannedCall = Pick<QueuedCall, 'since' | 'latencyGoalMs' | 'readDeadline'>;

/** Calculates until when a call may be sent if it is to be answered within its latency goal. */
function calculateTimelyUntil({since, latencyGoalMs}: Pick<PlannedCall, 'since' | 'latencyGoalMs'>): number {
	return since + (latencyGoalMs * timelyWaitFraction);
}

/** Whether a call can still be answered within its latency goal if it is sent at `now`. */
export function isTimely(call: Pick<PlannedCall, 'since' | 'latencyGoalMs'>, now: MonotonicMs): boolean {
	return now < calculateTimelyUntil(call);
}

/** Plans the wait of a call. `longestWaitMs` bounds it in any case. */
export function planAdmission(call: PlannedCall, {waitMs, drainMs}: QueueForecast, longestWaitMs: number, now: MonotonicMs): AdmissionPlan {
	const {since, latencyGoalMs} = call;
	const deadline = call.readDeadline();
	const latest = Math.min(deadline - (latencyGoalMs * workFraction), since + longestWaitMs);
	if (now >= latest || (waitMs !== undefined && now + waitMs > latest)) {
		return {type: 'refuse', reason: 'deadline'};
	}

	const timelyUntil = Math.min(calculateTimelyUntil(call), latest);
	if (now < timelyUntil && (waitMs === undefined || now + waitMs <= timelyUntil)) {
		return {type: 'wait', until: timelyUntil as MonotonicMs};
	}

	const lateUntil = Math.min(latest, since + ((deadline - since) * lateWaitFraction));
	if (drainMs !== undefined && now + drainMs <= lateUntil) {
		return {type: 'wait', until: Math.min(lateUntil, now + lateCheckMs) as MonotonicMs};
	}

	const freeUntil = since + (latencyGoalMs * freeWaitFraction);
	return now < freeUntil ? {type: 'wait', until: freeUntil as MonotonicMs} : {type: 'refuse', reason: 'overload'};
}
