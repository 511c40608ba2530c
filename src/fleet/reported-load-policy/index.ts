/** Compares targets by the loads that were last reported, as if all had the same speed. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {FleetTarget} from '../fleet-target/index.js';
import {
	drawMultiplier, fullComparisonTargetLimit, randomTargetsPerGroup, sumPenalties,
	type Candidates, type PlacementPolicy, type RatedTarget,
} from '../placement-policy/index.js';
import {pickByPrefix} from '../rank-by-prefix/index.js';
import type {TargetQuery} from '../target-query/index.js';

/** Cost of fetching the prefix from another target: the transfer time, and the memory that the copy takes. */
const prefixFetchPenaltyTokens = 3000;
/** Cost of computing a prefix that no target holds elsewhere than at its home. */
const nonHomePenaltyTokens = 1000;

/** Rates targets by reported loads. */
export class ReportedLoadPolicy implements PlacementPolicy {
	measureMemory(target: FleetTarget, now: MonotonicMs): number {
		return target.measureMemory(now);
	}

	rate(candidates: Candidates, query: TargetQuery, now: MonotonicMs): RatedTarget[] {
		const home = findHome(query, candidates);
		return sampleTargets(candidates, query, home).map(target => ({
			target, cost: target.measureLoad(now) + estimatePrefixCost(target, query, home) + sumPenalties(target, query, now),
		}));
	}
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

/** Finds the home of the shared prefix, with up-to-date weights if any target has them; undefined without a shared prefix. */
function findHome({sharedPrefix}: TargetQuery, {all, upToDate}: Candidates): FleetTarget | undefined {
	return sharedPrefix === undefined ? undefined : pickByPrefix(sharedPrefix.id, upToDate.length > 0 ? upToDate : all, 1)[0];
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
