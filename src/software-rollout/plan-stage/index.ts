/**
 * Plans the stage of a rollout from the order, its age, the evidence and the calls left at the old version.
 *
 * The shift begins as late as the calls at the old version allow: a version that turns bad before it has had only the share of
 * the canary.
 */

import type {
	RolloutBounds, RolloutStage, RolloutState, RolloutStatus,
} from '../rollout-types/index.js';

/** What the plan depends on. */
export type StageQuery = {
	readonly durationMs: number;
	/** Time since the appearance of the order. */
	readonly ageMs: number;
	readonly status: Pick<RolloutStatus, 'state' | 'stage' | 'share'> | undefined;
	/** Time since the present stage was written. */
	readonly stageAgeMs: number;
	readonly bounds: RolloutBounds;
	/** Why the version is bad; undefined if nothing shows that. */
	readonly stopReason: string | undefined;
	/** Requests for the service since the order. */
	readonly requests: number;
	/** Requests to the new version, and answers of it. */
	readonly newRequests: number;
	readonly newAnswers: number;
	/** Median duration of the calls at the old version; undefined if it is not known. */
	readonly typicalMs: number | undefined;
	/** Time within which nearly all calls at the old version end; undefined if it is not known. */
	readonly drainMs: number | undefined;
	/** Whether targets of the new version, and targets of other versions, serve. */
	readonly hasNewTargets: boolean;
	readonly hasPreviousTargets: boolean;
	/** Calls left at the old version, at all instances that were heard. */
	readonly callsLeft: number;
	/** Whether all live instances have stated their calls left in the present stage. */
	readonly haveAllStated: boolean;
};

/** Stage that is to be written. */
export type StagePlan = {readonly state: RolloutState; readonly stage: RolloutStage; readonly share: number; readonly reason?: string};

/** Fraction of the allowed exposure that the canary takes until the rate of requests is known. */
const firstCanaryFraction = 0.4;
/** Bounds of that fraction once the rate is known. */
const leastCanaryFraction = 0.35;
const mostCanaryFraction = 0.6;
/** Requests to the canary that are enough for a judgement; it gets them if the largest fraction allows it. */
const enoughCanaryRequests = 90;
/** Number of steps between the shares 0 and 1. */
const shareResolution = 1000;
/** Bounds of the share of the calls that the canary gets once the rate is known. */
const minimumCanaryShare = 0.005;
const maximumCanaryShare = 0.3;
/** Time from an answer to the stop of the version at all instances, in milliseconds. */
const stopDelayMs = 550;
/** Number of answers that is enough to find a version bad if a fifth of them are bad. */
const answersUntilStop = 60;
/** Age of the order from which the rate of requests is known, in milliseconds. */
const minimumRateAgeMs = 1500;
/** Smallest factor between the present and the wanted share of the canary for which the status is written. */
const shareChangeFactor = 1.4;
/** Time for a stage to reach all instances, and for the ramp, in milliseconds. */
const spreadMs = 700;
/** Time for the last status to be written, in milliseconds. */
const commitMs = 600;
/** Shortest time that the plan leaves for calls at the old version to end, in milliseconds. */
const minimumDrainMs = 150;
/** Duration of calls that is assumed while none is known, in milliseconds. */
const unknownDrainMs = 1000;
/** Factor on the measured time in which calls end. */
const drainFactor = 1.1;
/** Longest shift, as a fraction of the duration. */
const maximumShiftFraction = 0.5;
/** Time in stage `shift` before `completed`, in which the new version shows how it bears the load, in milliseconds. */
const minimumShiftMs = 900;
/** Time before the deadline from which completion doesn't wait for instances that are not heard, in milliseconds. */
const deadlineMarginMs = 600;

/** Plans the status to be written now; undefined if the present one is to stay. */
export function planStage(query: StageQuery): StagePlan | undefined {
	const {status, stopReason, hasNewTargets} = query;
	if (status !== undefined && status.state !== 'serving') {
		return undefined;
	}

	if (stopReason !== undefined) {
		return {
			state: 'rolledBack', stage: status?.stage ?? 'canary', share: 0, reason: stopReason,
		};
	}

	if (status === undefined) {
		return {state: 'serving', stage: 'canary', share: calculateCanaryShare(query)};
	}

	if (!hasNewTargets) {
		return undefined;
	}

	return status.stage === 'shift' ? planCompletion(query, status.share) : planCanary(query, status.share);
}

/** Calculates the age of the order at which stage `shift` begins. */
export function calculateShiftAgeMs({durationMs, drainMs = unknownDrainMs}: Pick<StageQuery, 'durationMs' | 'drainMs'>): number {
	const shiftMs = Math.max(spreadMs + (Math.max(minimumDrainMs, drainMs) * drainFactor), minimumShiftMs) + commitMs;
	return durationMs - Math.min(shiftMs, durationMs * maximumShiftFraction);
}

function planCanary(query: StageQuery, share: number): StagePlan | undefined {
	const {ageMs, newAnswers, hasPreviousTargets} = query;
	// Without any answer nothing speaks for the version, unless it is the only one.
	if (ageMs >= calculateShiftAgeMs(query) && (newAnswers > 0 || !hasPreviousTargets)) {
		return {state: 'serving', stage: 'shift', share};
	}

	// Shortly before the shift, another share would change little.
	if (calculateShiftAgeMs(query) - ageMs < minimumRateAgeMs) {
		return undefined;
	}

	const wanted = calculateCanaryShare(query);
	const isOther = wanted >= share * shareChangeFactor || wanted * shareChangeFactor <= share;
	return isOther ? {state: 'serving', stage: 'canary', share: wanted} : undefined;
}

function planCompletion(query: StageQuery, share: number): StagePlan | undefined {
	const {durationMs, ageMs, stageAgeMs, callsLeft, haveAllStated} = query;
	const isNearDeadline = ageMs >= durationMs - deadlineMarginMs;
	return callsLeft === 0 && stageAgeMs >= minimumShiftMs && (haveAllStated || isNearDeadline) ? {state: 'completed', stage: 'shift', share} : undefined;
}

/**
 * Calculates the share of the calls that the canary gets, from the requests that it may get in all and those that it has had. With
 * few requests, most of what it may get comes from the slack of the bounds.
 */
function calculateCanaryShare(query: StageQuery): number {
	const {durationMs, ageMs, requests, newRequests, bounds} = query;
	if (ageMs < minimumRateAgeMs || requests === 0) {
		return firstCanaryFraction * bounds.exposureShare;
	}

	const requestsPerMs = requests / ageMs;
	const allowed = (bounds.exposureShare * requestsPerMs * Math.max(durationMs, ageMs)) + bounds.exposureSlack;
	const remainingMs = Math.max(calculateShiftAgeMs(query) - ageMs, minimumRateAgeMs);
	const share = ((chooseCanaryFraction(query, requestsPerMs, allowed) * allowed) - newRequests) / (requestsPerMs * remainingMs);
	return Math.min(maximumCanaryShare, Math.max(minimumCanaryShare, Math.round(share * shareResolution) / shareResolution));
}

/**
 * Chooses the fraction of the allowed exposure that the canary takes. The rest is for a version that turns out to be bad in the
 * shift, or, where few requests come, for the whole shift.
 */
function chooseCanaryFraction(query: StageQuery, requestsPerMs: number, allowed: number): number {
	const {typicalMs = unknownDrainMs, durationMs} = query;
	const untilStop = (requestsPerMs * (typicalMs + stopDelayMs)) + answersUntilStop;
	const shiftFraction = requestsPerMs * (durationMs - calculateShiftAgeMs(query)) / allowed;
	const enoughFraction = enoughCanaryRequests / allowed;
	const fraction = Math.max(leastCanaryFraction, 1 - (untilStop / allowed), shiftFraction < 1 ? Math.min(enoughFraction, 1 - shiftFraction) : enoughFraction);
	return Math.min(mostCanaryFraction, fraction);
}
