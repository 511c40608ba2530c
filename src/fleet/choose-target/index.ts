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

import type {DataCentreId, MonotonicMs} from '../../identity/ids/index.js';
import type {WeightsVersionHistory} from '../../rollout/weights-version-history/index.js';
import type {FleetTarget} from '../fleet-target/index.js';
import {rankByPrefix} from '../rank-by-prefix/index.js';

/** Input of the choice. */
export type TargetQuery = {
	/** Targets that accept new calls. */
	readonly targets: readonly FleetTarget[];
	/** Targets that this call has already been sent to. */
	readonly excluded: ReadonlySet<FleetTarget>;
	readonly model: string | undefined;
	/** Weights versions announced for the model; undefined when there are none. */
	readonly versionHistory: WeightsVersionHistory | undefined;
	/** Longest prefix of the prompt that other calls share; undefined when it is too short to matter. */
	readonly sharedPrefix: SharedPrefix | undefined;
	/** Targets that probably have the shared prefix cached for their current weights. */
	readonly holders: ReadonlySet<FleetTarget>;
	/** Memory that the call needs and that an engine has; undefined for services without engines. */
	readonly memory: MemoryDemand | undefined;
	/** Data centre of this instance. */
	readonly dataCentre: DataCentreId;
	/** Random number in [0, 1). */
	readonly draw: number;
};

/** A prompt prefix that several calls share, with its length. */
export type SharedPrefix = {readonly id: string; readonly tokens: number};

/** Targets to choose from, also grouped by whether their weights are stale. */
type Candidates = {readonly all: readonly FleetTarget[]; readonly upToDate: readonly FleetTarget[]; readonly stale: readonly FleetTarget[]};

/** Memory of one call and of one engine, in tokens. */
export type MemoryDemand = {readonly callTokens: number; readonly engineTokens: number};

/** Fraction of an engine's memory that calls in flight may take; the remainder holds cached prefixes. */
const inFlightMemoryFraction = 0.8;
/** Cost of fetching the prefix from another target: the transfer time, and the memory that the copy takes. */
const prefixFetchPenaltyTokens = 3000;
/** Cost of computing a prefix that no target holds elsewhere than at its home. */
const nonHomePenaltyTokens = 1000;
/** Cost of stale weights, in tokens of work in flight. */
const staleWeightsPenaltyTokens = 15_000;
/** Cost of a target in another data centre. */
const otherDataCentrePenaltyTokens = 300;
/** Upper limit of the jitter added to each cost, so that instances with the same view do not all choose the same target. */
const maximumJitterTokens = 400;

/** Fleet size up to which all targets are compared; in larger fleets the reported loads are too old for that. */
const fullComparisonTargetLimit = 16;
/** Random targets with up-to-date weights, and with stale ones, that join the comparison in a larger fleet. */
const randomTargetsPerGroup = 2;
/** Multiplier that derives further random numbers from one. */
const drawMultiplier = 7919;

/** Chooses the target for the next attempt; undefined when none can accept the call now. */
export function chooseTarget(query: TargetQuery, now: MonotonicMs): FleetTarget | undefined {
	const usable = listUsable(query, now);
	const healthy = usable.filter(target => !target.isInCooldown(now) && !target.isSilent(now));
	const candidates = splitByStaleness(healthy.length > 0 ? healthy : usable, query, now);
	const home = findHome(query, candidates);
	const compared = sampleTargets(candidates, query, home);
	let best: FleetTarget | undefined;
	let lowestCost = Infinity;
	for (const [index, target] of compared.entries()) {
		const jitter = ((query.draw * (index + 1) * candidates.all.length) % 1) * maximumJitterTokens;
		const cost = estimateCost(target, query, home, now) + jitter;
		if (cost < lowestCost) {
			best = target;
			lowestCost = cost;
		}
	}

	return best;
}

/**
 * Selects the targets to compare. In a large fleet these are the home and the holders of the prefix, and a few
 * random targets with up-to-date and with stale weights.
 *
 * With many instances, load reports are older than the time that most work takes. If every instance compared
 * all targets, all would send to the same few that look idle for a moment.
 */
function sampleTargets({all, upToDate, stale}: Candidates, {draw, holders}: TargetQuery, home: FleetTarget | undefined): readonly FleetTarget[] {
	if (all.length <= fullComparisonTargetLimit) {
		return all;
	}

	const sample = new Set(all.filter(target => target === home || holders.has(target)));
	let fraction = draw;
	for (const group of [upToDate, stale]) {
		for (let count = Math.min(randomTargetsPerGroup, group.length); count > 0; count -= 1) {
			fraction = (fraction * drawMultiplier) % 1;
			sample.add(group[Math.floor(fraction * group.length)]!);
		}
	}

	return [...sample];
}

function splitByStaleness(all: readonly FleetTarget[], query: TargetQuery, now: MonotonicMs): Candidates {
	const upToDate: FleetTarget[] = [];
	const stale: FleetTarget[] = [];
	for (const target of all) {
		(hasStaleWeights(target, query, now) ? stale : upToDate).push(target);
	}

	return {all, upToDate, stale};
}

/** Whether a newer version was announced so long ago that answers on the target's weights have lost value. */
function hasStaleWeights(target: FleetTarget, {model, versionHistory}: TargetQuery, now: MonotonicMs): boolean {
	return model !== undefined && (versionHistory?.isStale(target.readVersion(model) ?? 0, now) ?? false);
}

/** Finds the home of the shared prefix, with up-to-date weights if any target has them; undefined without a shared prefix. */
function findHome({sharedPrefix}: TargetQuery, {all, upToDate}: Candidates): FleetTarget | undefined {
	return sharedPrefix === undefined ? undefined : rankByPrefix(sharedPrefix.id, upToDate.length > 0 ? upToDate : all)[0];
}

/** Lists the targets that may and can run the call now. */
function listUsable({targets, excluded, model, versionHistory, memory}: TargetQuery, now: MonotonicMs): FleetTarget[] {
	return targets.filter(target => {
		if (excluded.has(target) || target.isCordoned(now) || target.isPaused(now) || !hasFreeMemory(target, memory, now)) {
			return false;
		}

		const version = model === undefined ? undefined : target.readVersion(model);
		if (model !== undefined && version === undefined) {
			return false;
		}

		return version === undefined || versionHistory === undefined || versionHistory.allowsNewCalls(version, now);
	});
}

/** Estimates the work before the first token of the answer, in tokens. */
function estimateCost(target: FleetTarget, query: TargetQuery, home: FleetTarget | undefined, now: MonotonicMs): number {
	const {dataCentre} = query;
	let cost = target.measureLoad(now) + estimatePrefixCost(target, query, home);

	if (target.description.dataCentre !== dataCentre) {
		cost += otherDataCentrePenaltyTokens;
	}

	if (hasStaleWeights(target, query, now)) {
		cost += staleWeightsPenaltyTokens;
	}

	return cost;
}

/** Estimates the work that the shared prefix adds at a target. A prefix that no target holds is computed at any of them. */
function estimatePrefixCost(target: FleetTarget, {sharedPrefix, holders}: TargetQuery, home: FleetTarget | undefined): number {
	if (sharedPrefix === undefined || holders.has(target)) {
		return 0;
	}

	if (holders.size > 0) {
		return prefixFetchPenaltyTokens;
	}

	return sharedPrefix.tokens + (target === home ? 0 : nonHomePenaltyTokens);
}

/** Whether the call fits beside those in flight. An idle engine accepts any call, as one that exceeds the limit would otherwise never run. */
function hasFreeMemory(target: FleetTarget, memory: MemoryDemand | undefined, now: MonotonicMs): boolean {
	if (memory === undefined) {
		return true;
	}

	const usedTokens = target.measureMemory(now);
	return usedTokens === 0 || usedTokens + memory.callTokens <= memory.engineTokens * inFlightMemoryFraction;
}
