/** How the targets that can take a call are compared. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {FleetTarget} from '../fleet-target/index.js';
import type {TargetQuery} from '../target-query/index.js';

/** Targets to choose from, also grouped by whether their weights are stale. */
export type Candidates = {readonly all: readonly FleetTarget[]; readonly upToDate: readonly FleetTarget[]; readonly stale: readonly FleetTarget[]};

/** A target and the work before the first token of an answer from it, in prompt tokens. */
export type RatedTarget = {readonly target: FleetTarget; readonly cost: number};

/** Rates targets. */
export type PlacementPolicy = {
	/** Returns the engine memory that calls take at `target`, in tokens. */
	measureMemory(target: FleetTarget, now: MonotonicMs): number;
	/** Rates the candidates that are worth a comparison. */
	rate(candidates: Candidates, query: TargetQuery, now: MonotonicMs): RatedTarget[];
};

/** Fleet size up to which all targets are compared; in larger fleets the reported loads are too old for that. */
export const fullComparisonTargetLimit = 16;
/** Random targets with up-to-date weights, and with stale ones, that join the comparison in a larger fleet. */
export const randomTargetsPerGroup = 2;
/** Multiplier that derives further random numbers from one. */
export const drawMultiplier = 7919;
/** Cost of stale weights, in tokens of work in flight. */
const staleWeightsPenaltyTokens = 15_000;
/** Cost of a target in another data centre. */
const otherDataCentrePenaltyTokens = 300;

/** Whether a newer version was announced so long ago that answers on the target's weights have lost value. */
export function hasStaleWeights(target: FleetTarget, {model, versionHistory}: TargetQuery, now: MonotonicMs): boolean {
	return model !== undefined && (versionHistory?.isStale(target.readVersion(model) ?? 0, now) ?? false);
}

/** Sums up the costs of a target that don't depend on its load. */
export function sumPenalties(target: FleetTarget, query: TargetQuery, now: MonotonicMs): number {
	return (target.description.dataCentre === query.dataCentre ? 0 : otherDataCentrePenaltyTokens)
		+ (hasStaleWeights(target, query, now) ? staleWeightsPenaltyTokens : 0);
}
