/**
 * Compares targets by what their loads have probably become since the last reports, at the speed learned of each.
 *
 * In a large fleet all instances get the same reports, later than most work takes. Each compares the holders and homes of the
 * prefix with few random targets, drawn by speed, so that the targets share the calls by speed even without any knowledge of
 * their loads.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {FleetTarget} from '../fleet-target/index.js';
import {minimumSpeed} from '../learned-speed/index.js';
import {
	drawMultiplier, fullComparisonTargetLimit, randomTargetsPerGroup, sumPenalties,
	type Candidates, type PlacementPolicy, type RatedTarget,
} from '../placement-policy/index.js';
import {pickByPrefix} from '../rank-by-prefix/index.js';
import type {TargetQuery} from '../target-query/index.js';

/** Random targets in the comparison when there are holders of the prefix, each of which would have to compute or fetch it. */
const randomTargetsBesideHolders = 1;
/** Cost of computing a prefix elsewhere than at its home, which may hold it even if that is not reported. */
const nonHomePenaltyTokens = 4000;
/** Part of the prefix's tokens that a target without it is charged, because it may fetch them. */
const missingPrefixShare = 0.75;
/** The same for a target that becomes a holder of a prefix with too few of them. */
const wantedHolderShare = 0.3;
/** Cost of a holder beyond those that the prefix needs, so that it is used only when the others are busy, and evicts the prefix later. */
const surplusHolderPenaltyTokens = 1500;
/** Share of a target's time that calls with one prefix may take before it gets another holder. */
const maximumTimeShare = 0.4;
/** Work of a call beyond the prefix, in prompt tokens. */
const typicalCallTokens = 2000;
/** Exponent below 1 that keeps fast targets from getting more than their speed allows when many instances prefer them. */
const speedExponent = 0.5;
/** Highest weight of a target in a random draw. */
const maximumDrawWeight = 2;
/** Draws after which a target is taken whatever its speed. */
const maximumDraws = 6;

/** Rates targets by estimated loads and learned speeds. */
export class LearnedLoadPolicy implements PlacementPolicy {
	measureMemory(target: FleetTarget, now: MonotonicMs): number {
		return target.estimateMemory(now);
	}

	rate(candidates: Candidates, query: TargetQuery, now: MonotonicMs): RatedTarget[] {
		const homes = selectHomes(candidates, query, now);
		return sampleTargets(candidates, query, homes, now).map(target => {
			const work = (target.estimateLoad(now) + typicalCallTokens) / weighSpeed(target, now);
			return {target, cost: work + estimatePrefixTokens(target, query, homes) + sumPenalties(target, query, now)};
		});
	}
}

/** The policy, which has no state. */
export const learnedLoadPolicy = new LearnedLoadPolicy();

/** Selects the targets that should hold the shared prefix: the first of its ranking whose speeds together suffice for its recent use. */
function selectHomes({all, upToDate}: Candidates, {sharedPrefix, promptTokensPerSecond = 0}: TargetQuery, now: MonotonicMs): readonly FleetTarget[] {
	const targets = upToDate.length > 0 ? upToDate : all;
	if (sharedPrefix === undefined || targets.length === 0) {
		return [];
	}

	const msPerToken = targets[0]!.speed.readServiceMsPerToken(now) ?? 0;
	const neededSpeed = promptTokensPerSecond * msPerToken / 1000 / maximumTimeShare;
	const ranked = pickByPrefix(sharedPrefix.id, targets, Math.ceil(neededSpeed / minimumSpeed) + 1);
	let speed = 0;
	const count = ranked.findIndex(target => {
		speed += target.speed.read(now);
		return speed >= neededSpeed;
	});
	return count === -1 ? ranked : ranked.slice(0, count + 1);
}

/** Selects the targets to compare: all in a small fleet, else the holders and homes of the prefix and a few random ones. */
function sampleTargets(candidates: Candidates, {draw, holders}: TargetQuery, homes: readonly FleetTarget[], now: MonotonicMs): readonly FleetTarget[] {
	const {all, upToDate, stale} = candidates;
	if (all.length <= fullComparisonTargetLimit) {
		return all;
	}

	const sample = new Set(homes);
	for (const target of holders.size > 0 ? all : []) {
		if (holders.has(target)) {
			sample.add(target);
		}
	}

	const drawCount = holders.size > 0 ? randomTargetsBesideHolders : randomTargetsPerGroup;
	let fraction = draw;
	const drawNext = () => {
		fraction = (fraction * drawMultiplier) % 1;
		return fraction;
	};

	for (const group of [upToDate, stale]) {
		for (let count = Math.min(drawCount, group.length); count > 0; count -= 1) {
			sample.add(drawBySpeed(group, drawNext, now));
		}
	}

	return [...sample];
}

/** Draws a target, with a probability that grows with its speed. */
function drawBySpeed(group: readonly FleetTarget[], drawNext: () => number, now: MonotonicMs): FleetTarget {
	let target = group[Math.floor(drawNext() * group.length)]!;
	for (let draws = 1; draws < maximumDraws && drawNext() * maximumDrawWeight > weighSpeed(target, now); draws += 1) {
		target = group[Math.floor(drawNext() * group.length)]!;
	}

	return target;
}

function weighSpeed(target: FleetTarget, now: MonotonicMs): number {
	return target.speed.read(now) ** speedExponent;
}

/** Estimates the work that the shared prefix adds at a target. */
function estimatePrefixTokens(target: FleetTarget, {sharedPrefix, holders}: TargetQuery, homes: readonly FleetTarget[]): number {
	if (sharedPrefix === undefined) {
		return 0;
	}

	const isHome = homes.includes(target);
	if (holders.has(target)) {
		return isHome || holders.size <= homes.length ? 0 : surplusHolderPenaltyTokens;
	}

	if (holders.size === 0) {
		return sharedPrefix.tokens + (isHome ? 0 : nonHomePenaltyTokens);
	}

	return sharedPrefix.tokens * (isHome && holders.size < homes.length ? wantedHolderShare : missingPrefixShare);
}
