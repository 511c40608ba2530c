/**
 * Chooses the target for one attempt.
 *
 * Prompts share long prefixes, and every instance derives the same home target of a prefix by rendezvous
 * hashing. The cost of each usable target is estimated from the work in flight there, the work that a missing
 * prefix adds and a penalty for stale weights. This keeps a hot prefix from overloading its home. It also keeps
 * calls from overloading the first engines with new weights, when all caches are cold after a rollout.
 *
 * When engines are lost or a burst arrives, calls that fill an engine's memory evict cached prefixes, which are
 * then computed again and keep the engine overloaded. Calls therefore wait while every engine is full.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {FleetTarget} from '../fleet-target/index.js';
import {hasStaleWeights, type Candidates, type PlacementPolicy} from '../placement-policy/index.js';
import {ReportedLoadPolicy} from '../reported-load-policy/index.js';
import type {MemoryDemand, TargetQuery} from '../target-query/index.js';

/** Input of the choice. */
export type TargetChoice = TargetQuery & {
	/** How targets are compared; by their reported loads if it is undefined. */
	readonly policy?: PlacementPolicy;
};

/** Fraction of an engine's memory that calls in flight may take; the remainder holds cached prefixes. */
const inFlightMemoryFraction = 0.8;
/** Upper limit of the jitter added to each cost, so that instances with the same view do not all choose the same target. */
const maximumJitterTokens = 400;
const reportedLoadPolicy = new ReportedLoadPolicy();

/** Chooses the target for the next attempt; undefined when none can accept the call now. */
export function chooseTarget(query: TargetChoice, now: MonotonicMs): FleetTarget | undefined {
	const usable = listUsable(query, now);
	const healthy = usable.filter(target => !target.isInCooldown(now) && !target.isSilent(now));
	const candidates = splitByStaleness(healthy.length > 0 ? healthy : usable, query, now);
	const rated = (query.policy ?? reportedLoadPolicy).rate(candidates, query, now);
	let best: FleetTarget | undefined;
	let lowestCost = Infinity;
	for (const [index, {target, cost}] of rated.entries()) {
		const jitter = ((query.draw * (index + 1) * candidates.all.length) % 1) * maximumJitterTokens;
		if (cost + jitter < lowestCost) {
			best = target;
			lowestCost = cost + jitter;
		}
	}

	return best;
}

function splitByStaleness(all: readonly FleetTarget[], query: TargetQuery, now: MonotonicMs): Candidates {
	const upToDate: FleetTarget[] = [];
	const stale: FleetTarget[] = [];
	for (const target of all) {
		(hasStaleWeights(target, query, now) ? stale : upToDate).push(target);
	}

	return {all, upToDate, stale};
}

/** Lists the targets that may and can run the call now. */
function listUsable({targets, excluded, model, versionHistory, memory, policy = reportedLoadPolicy}: TargetChoice, now: MonotonicMs): FleetTarget[] {
	return targets.filter(target => {
		if (excluded.has(target) || target.isCordoned(now) || target.isPaused(now) || !hasFreeMemory(target, memory, policy, now)) {
			return false;
		}

		const version = model === undefined ? undefined : target.readVersion(model);
		if (model !== undefined && version === undefined) {
			return false;
		}

		return version === undefined || versionHistory === undefined || versionHistory.allowsNewCalls(version, now);
	});
}

/** Whether the call fits beside those in flight. An idle engine accepts any call, as one that exceeds the limit would otherwise never run. */
function hasFreeMemory(target: FleetTarget, memory: MemoryDemand | undefined, policy: PlacementPolicy, now: MonotonicMs): boolean {
	if (memory === undefined) {
		return true;
	}

	const usedTokens = policy.measureMemory(target, now);
	return usedTokens === 0 || usedTokens + memory.callTokens <= memory.engineTokens * inFlightMemoryFraction;
}
