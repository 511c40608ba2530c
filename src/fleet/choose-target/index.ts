/**
 * Choice of the target for one attempt.
 *
 * Load pattern: prompts share long prefixes and each instance sees only its part of the traffic. Every
 * instance derives the same home of a prefix by rendezvous hashing; a home that is loaded beyond its
 * share passes calls on to the next in the order, so that a hot prefix spreads and its cache with it.
 */

import type {DataCentreId, MonotonicMs} from '../../identity/ids/index.js';
import type {FleetTarget} from '../fleet-target/index.js';
import {rankByPrefix} from '../rank-by-prefix/index.js';

/** What the choice rests on. */
export type TargetQuery = {
	/** Targets that take new calls. */
	readonly targets: readonly FleetTarget[];
	/** Targets that this call has already been sent to. */
	readonly excluded: ReadonlySet<FleetTarget>;
	readonly model: string | undefined;
	/** Version that the model's engines are to have; undefined when none is known. */
	readonly wantedVersion: number | undefined;
	/** Deepest part of the prompt that other calls share, with the tokens up to its end. */
	readonly sharedPrefix: {readonly id: string; readonly tokens: number} | undefined;
	/** Data centre of this instance. */
	readonly dataCentre: DataCentreId;
	/** From 0 up to, not including, 1. */
	readonly draw: number;
};

/** Shared tokens below which spreading the load is worth more than a cached prefix. */
const shortestPrefixTokens = 1000;
/** Multiple of the mean load up to which a home keeps its prefix. */
const loadBound = 1.25;
/** Load above the mean that is always allowed, in tokens; about the prefill of one long prompt. */
const loadSlackTokens = 6000;
/** Load of a call that is past its prefill, in tokens. */
const runningCallTokens = 400;
/** Load by which a target in another data centre is disadvantaged, in tokens. */
const distanceTokens = 300;

/** Chooses the target for the next attempt; undefined when none can take the call now. */
export function chooseTarget(query: TargetQuery, now: MonotonicMs): FleetTarget | undefined {
	const usable = listUsable(query, now);
	const sound = usable.filter(target => !target.isAvoided(now) && !target.isSilent(now));
	const candidates = preferWantedVersion(sound.length > 0 ? sound : usable, query);
	if (candidates.length <= 1) {
		return candidates[0];
	}

	const {sharedPrefix} = query;
	return sharedPrefix !== undefined && sharedPrefix.tokens >= shortestPrefixTokens
		? chooseHome(sharedPrefix.id, candidates)
		: chooseLeastLoaded(candidates, query);
}

/** Load of a target, in tokens that it has to compute. */
export function measureLoad(target: FleetTarget): number {
	return target.sumPendingPrefill() + ((target.calls.size + target.remoteCalls) * runningCallTokens);
}

function listUsable({targets, excluded, model}: TargetQuery, now: MonotonicMs): FleetTarget[] {
	return targets.filter(target => !excluded.has(target) && !target.isCordoned(now)
		&& (model === undefined || target.readVersion(model) !== undefined));
}

/** Keeps the targets with the highest version among those that do not exceed the wanted one. */
function preferWantedVersion(targets: readonly FleetTarget[], {model, wantedVersion}: TargetQuery): readonly FleetTarget[] {
	if (model === undefined || wantedVersion === undefined) {
		return targets;
	}

	const current = targets.filter(target => (target.readVersion(model) ?? 0) >= wantedVersion);
	return current.length > 0 ? current : targets;
}

/** The first target in the prefix's order that is not loaded beyond its share. */
function chooseHome(prefix: string, candidates: readonly FleetTarget[]): FleetTarget | undefined {
	const ranked = rankByPrefix(prefix, candidates);
	const loads = new Map(ranked.map(target => [target, measureLoad(target)]));
	const mean = [...loads.values()].reduce((sum, load) => sum + load, 0) / ranked.length;
	const bound = (mean * loadBound) + loadSlackTokens;
	return ranked.find(target => loads.get(target)! <= bound) ?? ranked[0];
}

/** The less loaded of two random targets: a choice among all would send every instance to the same one. */
function chooseLeastLoaded(candidates: readonly FleetTarget[], {draw, dataCentre}: TargetQuery): FleetTarget | undefined {
	const first = Math.floor(draw * candidates.length);
	const remainder = (draw * candidates.length) - first;
	const second = (first + 1 + Math.floor(remainder * (candidates.length - 1))) % candidates.length;
	const pair = [candidates[first]!, candidates[second]!];
	const rate = (target: FleetTarget) => (measureLoad(target) * Math.max(1, target.meanAnswerMs))
		+ (target.description.dataCentre === dataCentre ? 0 : distanceTokens);
	return rate(pair[0]!) <= rate(pair[1]!) ? pair[0] : pair[1];
}
