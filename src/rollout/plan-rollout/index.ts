/**
 * Plans the rolling update of engines to newly announced weights.
 *
 * New weights are announced every few seconds under full traffic. An engine serves no calls while it
 * loads weights, the work on calls in flight at the start of a load is wasted, and concurrent loads slow
 * each other down. Therefore only a share of the engines changes at a time: they are cordoned until most
 * calls in flight have ended and then load, while the others serve.
 */

import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';

/** Progress of an engine's change to other weights. */
export type RolloutPhase
	= | {readonly type: 'cordoned' | 'unreachable'; readonly since: MonotonicMs}
		| LoadingPhase;

/** A load that was ordered. `reportedAt` is when the engine last reported that it is in progress. */
export type LoadingPhase = {readonly type: 'loading'; readonly since: MonotonicMs; readonly version: number; readonly reportedAt?: MonotonicMs};

/** State of an engine that the plan depends on. */
export type RolloutEngine = {
	readonly id: TargetId;
	readonly version: number;
	/** Calls in flight that this instance knows of. */
	readonly callsInFlight: number;
	readonly phase: RolloutPhase | undefined;
};

/** Action to take now. `release` ends a cordon; `report` reads the engine's report. */
export type RolloutStep
	= | {readonly type: 'cordon' | 'order' | 'release'; readonly id: TargetId}
		| {readonly type: 'report'; readonly id: TargetId};

/** Share of the engines that may change at the same time. */
const maximumChangingShare = 0.4;
/** Time without new calls before an engine is ordered to load; most calls in flight end within it. */
export const minimumCordonMs = 300;
/** Shortest time that a load takes. Reports read earlier can't show the new version. */
const minimumLoadMs = 600;
/** Time until an unreachable engine is tried again. A restarted engine counts as a new one and doesn't wait. */
const unreachableRetryMs = 2500;
/** Time without a report of the load after which an order counts as lost and is repeated. */
const loadTimeoutMs = 4000;

/** Plans the next steps that bring the engines to `desiredVersion`. */
export function planRollout(engines: readonly RolloutEngine[], desiredVersion: number, now: MonotonicMs): RolloutStep[] {
	const steps: RolloutStep[] = [];
	let changingCount = 0;
	for (const engine of engines) {
		const step = planPhase(engine, desiredVersion, now);
		if (step !== undefined) {
			steps.push(step);
		}

		changingCount += engine.phase === undefined || engine.phase.type === 'unreachable' || step?.type === 'release' ? 0 : 1;
	}

	const cordonLimit = Math.max(1, Math.floor(engines.length * maximumChangingShare)) - changingCount;
	const outdated = engines.filter(engine => engine.phase === undefined && engine.version < desiredVersion);
	const nextToCordon = outdated.toSorted((a, b) => a.version - b.version || a.callsInFlight - b.callsInFlight).slice(0, Math.max(0, cordonLimit));
	return [...steps, ...nextToCordon.map(({id}): RolloutStep => ({type: 'cordon', id}))];
}

function planPhase({id, version, phase}: RolloutEngine, desiredVersion: number, now: MonotonicMs): RolloutStep | undefined {
	if (phase === undefined) {
		return undefined;
	}

	const phaseAgeMs = now - phase.since;
	switch (phase.type) {
		case 'unreachable': {
			return phaseAgeMs >= unreachableRetryMs ? {type: 'release', id} : undefined;
		}

		case 'cordoned': {
			if (version >= desiredVersion) {
				return {type: 'release', id};
			}

			return phaseAgeMs >= minimumCordonMs ? {type: 'order', id} : undefined;
		}

		case 'loading': {
			if (version >= phase.version) {
				return {type: 'release', id};
			}

			if (now - (phase.reportedAt ?? phase.since) > loadTimeoutMs) {
				return {type: 'order', id};
			}

			return phaseAgeMs > minimumLoadMs ? {type: 'report', id} : undefined;
		}
	}
}
