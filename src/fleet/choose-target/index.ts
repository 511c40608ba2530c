/**
 * Choice of the target for one attempt.
 *
 * Load pattern: prompts share long prefixes, and right after new weights are named all caches are cold and
 * a few engines have the new weights. Every instance derives the same home of a prefix by rendezvous
 * hashing. Each usable target is rated by the work that waits there, the work that a missing prefix adds,
 * and a handicap for old weights, so that neither a hot prefix nor the first changed engines are buried.
 *
 * When engines are lost or bursts come, calls that fill an engine's memory push cached prefixes out, which
 * are then computed again and keep the engine overloaded. So calls wait while every engine is full.
 */

import type {DataCentreId, MonotonicMs} from '../../identity/ids/index.js';
import type {NamedWeights} from '../../rollout/named-weights/index.js';
import type {FleetTarget} from '../fleet-target/index.js';
import {rankByPrefix} from '../rank-by-prefix/index.js';

/** What the choice rests on. */
export type TargetQuery = {
	/** Targets that take new calls. */
	readonly targets: readonly FleetTarget[];
	/** Targets that this call has already been sent to. */
	readonly excluded: ReadonlySet<FleetTarget>;
	readonly model: string | undefined;
	/** Weights that were named for the model; undefined when none are known. */
	readonly named: NamedWeights | undefined;
	/** Deepest part of the prompt that other calls share, with the tokens up to its end; undefined when it is short. */
	readonly sharedPrefix: SharedPrefix | undefined;
	/** Targets that probably hold the shared prefix for the weights that they have. */
	readonly holders: ReadonlySet<FleetTarget>;
	/** Memory that the call takes at an engine, and that an engine has; undefined for plain services. */
	readonly memory: MemoryDemand | undefined;
	/** Data centre of this instance. */
	readonly dataCentre: DataCentreId;
	/** From 0 up to, not including, 1. */
	readonly draw: number;
};

/** A prompt prefix that calls share. */
export type SharedPrefix = {readonly id: string; readonly tokens: number};

/** Targets that take the call, with those apart whose answers have lost value. */
type Candidates = {readonly all: readonly FleetTarget[]; readonly valued: readonly FleetTarget[]; readonly devalued: readonly FleetTarget[]};

/** Memory in tokens. */
export type MemoryDemand = {readonly callTokens: number; readonly engineTokens: number};

/** Part of an engine's memory that running calls may take; the rest keeps cached prefixes. */
const runningShare = 0.8;
/** Handicap of fetching the prefix from another target, in tokens: the time, and the memory that a copy takes. */
const fetchTokens = 3000;
/** Handicap of a target that is not the home of a prefix which nobody holds, in tokens. */
const strangerTokens = 1000;
/** Handicap of old weights once answers on them lose value, in tokens of waiting work. */
const oldWeightsTokens = 15_000;
/** Handicap of a target in another data centre, in tokens. */
const distanceTokens = 300;
/** Random part of each rating, in tokens, so that instances with the same view do not all choose alike. */
const jitterTokens = 400;

/** Targets up to which all are compared; in larger fleets the reported loads are too old for that. */
const largestComparison = 16;
/** Targets of each kind of weights that are compared beside those that the prefix speaks for. */
const randomCandidates = 2;
/** Factor that spreads one draw over several choices. */
const randomStep = 7919;

/** Chooses the target for the next attempt; undefined when none can take the call now. */
export function chooseTarget(query: TargetQuery, now: MonotonicMs): FleetTarget | undefined {
	const usable = listUsable(query, now);
	const sound = usable.filter(target => !target.isAvoided(now) && !target.isSilent(now));
	const candidates = splitByValue(sound.length > 0 ? sound : usable, query, now);
	const home = findHome(query, candidates);
	const compared = sampleTargets(candidates, query, home);
	let best: FleetTarget | undefined;
	let bestRating = Infinity;
	for (const [index, target] of compared.entries()) {
		const jitter = ((query.draw * (index + 1) * candidates.all.length) % 1) * jitterTokens;
		const rating = rateTarget(target, query, home, now) + jitter;
		if (rating < bestRating) {
			best = target;
			bestRating = rating;
		}
	}

	return best;
}

/**
 * In a large fleet: the targets that the prefix speaks for, and a few at random of those with new and with old weights.
 *
 * Load pattern: reports of the loads of many instances are older than most work takes, so that all instances
 * that compare all targets send to the same few, which look idle for a moment.
 */
function sampleTargets({all, valued, devalued}: Candidates, {draw, holders}: TargetQuery, home: FleetTarget | undefined): readonly FleetTarget[] {
	if (all.length <= largestComparison) {
		return all;
	}

	const sample = new Set(all.filter(target => target === home || holders.has(target)));
	let position = draw;
	for (const group of [valued, devalued]) {
		for (let count = Math.min(randomCandidates, group.length); count > 0; count -= 1) {
			position = (position * randomStep) % 1;
			sample.add(group[Math.floor(position * group.length)]!);
		}
	}

	return [...sample];
}

/** Splits targets by whether answers of their weights have kept their value. */
function splitByValue(all: readonly FleetTarget[], query: TargetQuery, now: MonotonicMs): Candidates {
	const valued: FleetTarget[] = [];
	const devalued: FleetTarget[] = [];
	for (const target of all) {
		(isDevalued(target, query, now) ? devalued : valued).push(target);
	}

	return {all, valued, devalued};
}

/** Whether answers of the target's weights have lost value. */
function isDevalued(target: FleetTarget, {model, named}: TargetQuery, now: MonotonicMs): boolean {
	return model !== undefined && (named?.isDevalued(target.readVersion(model) ?? 0, now) ?? false);
}

/** The target that the prompt's shared prefix belongs on, with new weights if any has them; undefined when the prompt has no long one. */
function findHome({sharedPrefix}: TargetQuery, {all, valued}: Candidates): FleetTarget | undefined {
	return sharedPrefix === undefined ? undefined : rankByPrefix(sharedPrefix.id, valued.length > 0 ? valued : all)[0];
}

function listUsable({targets, excluded, model, named, memory}: TargetQuery, now: MonotonicMs): FleetTarget[] {
	return targets.filter(target => {
		if (excluded.has(target) || target.isCordoned(now) || !hasRoom(target, memory, now)) {
			return false;
		}

		const version = model === undefined ? undefined : target.readVersion(model);
		if (model !== undefined && version === undefined) {
			return false;
		}

		return version === undefined || named === undefined || named.allows(version, now);
	});
}

/** Rates a target in tokens of work before the answer; the lowest is best. */
function rateTarget(target: FleetTarget, query: TargetQuery, home: FleetTarget | undefined, now: MonotonicMs): number {
	const {dataCentre} = query;
	let rating = target.measureLoad(now) + ratePrefix(target, query, home);

	if (target.description.dataCentre !== dataCentre) {
		rating += distanceTokens;
	}

	if (isDevalued(target, query, now)) {
		rating += oldWeightsTokens;
	}

	return rating;
}

/** Work that the shared prefix adds at a target. A prefix that nobody holds is computed wherever the call goes. */
function ratePrefix(target: FleetTarget, {sharedPrefix, holders}: TargetQuery, home: FleetTarget | undefined): number {
	if (sharedPrefix === undefined || holders.has(target)) {
		return 0;
	}

	if (holders.size > 0) {
		return fetchTokens;
	}

	return sharedPrefix.tokens + (target === home ? 0 : strangerTokens);
}

/** Whether the call fits beside the running ones. A call that is too large for any engine is left to an idle one. */
function hasRoom(target: FleetTarget, memory: MemoryDemand | undefined, now: MonotonicMs): boolean {
	if (memory === undefined) {
		return true;
	}

	const taken = target.measureMemory(now);
	return taken === 0 || taken + memory.callTokens <= memory.engineTokens * runningShare;
}
