/** Plans the faults of a soak test from a seed. Faults come in series, may overlap, and all end within the planned duration. */

import {RandomSource} from '../../random/random-source/index.js';

/** Kinds of faults, grouped by the part of the system that they affect. */
export const faultKinds = {
	instance: ['pause', 'kill', 'terminate', 'hangUp', 'storeSilent', 'storeDeaf', 'storeReset', 'storeDelay'],
	fleet: ['killAll', 'storeDown', 'storeWritesLost', 'storeHistoryLost'],
	target: ['crash', 'replace', 'hang', 'errors', 'lost', 'cut', 'pathReset', 'pathSilent', 'pathDelay'],
	operator: ['configure', 'withdrawKey', 'publishWeights'],
	prompt: ['crashingPart'],
	limit: ['targetLimit'],
	history: ['storeRestored'],
	request: ['crashingRequest'],
	software: ['releaseSoftware'],
	statement: ['targetPause', 'leaveUnlisted'],
} as const;

export type FaultKind = (typeof faultKinds)[keyof typeof faultKinds][number];

/** A planned fault. */
export type PlannedFault = {
	/** Start of the fault, in milliseconds after the start of the plan. */
	readonly offsetMs: number;
	readonly kind: FaultKind;
	/** Index of the affected instance or target, modulo their number. */
	readonly victim: number;
	readonly durationMs: number;
};

/** Mean time between the starts of two series, in milliseconds. */
const seriesIntervalMs = 900;
/** Maximum number of faults in a series. */
const maximumSeriesLength = 3;
/** Upper limit of the time between two faults of a series, in milliseconds. */
const maximumPauseInSeriesMs = 400;
const minimumDurationMs = 200;
const durationRangeMs = 3500;
const victimLimit = 1000;
/** One in this number of plans has a part of prompts that crashes engines; as many have each of the other long faults. */
const longFaultPeriod = 2;
/** Maximum duration of these faults, in milliseconds. What they lead to shows only after several seconds. */
const maximumLongFaultMs = 12_000;
/** These faults start within the first quarter of the plan. */
const longFaultStartRatio = 0.25;
/** Faults of which a plan has at most one each, in the order in which they are drawn. */
const longKinds = (['prompt', 'limit', 'history', 'request', 'software', 'statement'] as const).flatMap(group => [...faultKinds[group]] as FaultKind[]);
/** Long faults of one target. */
const targetFaults: ReadonlySet<FaultKind> = new Set(['targetLimit', 'targetPause', 'leaveUnlisted']);

/** Plans the faults for a period of `durationMs`. The same seed yields the same plan. */
export function planFaults(seed: number, durationMs: number): PlannedFault[] {
	const random = new RandomSource(seed);
	const groups = [faultKinds.instance, faultKinds.fleet, faultKinds.target, faultKinds.operator];
	const faults: PlannedFault[] = [];
	let seriesOffsetMs = 0;
	while (seriesOffsetMs < durationMs) {
		let offsetMs = seriesOffsetMs;
		for (let count = 1 + random.pickIndex(maximumSeriesLength); count > 0 && offsetMs < durationMs; count -= 1) {
			const kinds = groups[random.pickIndex(groups.length)]!;
			faults.push({
				offsetMs, kind: kinds[random.pickIndex(kinds.length)]!, victim: random.pickIndex(victimLimit),
				durationMs: Math.min(durationMs - offsetMs, minimumDurationMs + random.pickIndex(durationRangeMs)),
			});
			offsetMs += random.pickIndex(maximumPauseInSeriesMs);
		}

		seriesOffsetMs += random.applyJitter(seriesIntervalMs);
	}

	// Drawn last, so that the series of a seed do not depend on them.
	return [...faults, ...longKinds.flatMap(kind => planLongFault(random, kind, durationMs))];
}

function planLongFault(random: RandomSource, kind: FaultKind, durationMs: number): PlannedFault[] {
	if (random.pickIndex(longFaultPeriod) > 0) {
		return [];
	}

	const offsetMs = random.pickIndex(Math.max(1, Math.floor(durationMs * longFaultStartRatio)));
	return [{
		offsetMs, kind,
		victim: targetFaults.has(kind) ? random.pickIndex(victimLimit) : 0, durationMs: Math.min(durationMs - offsetMs, maximumLongFaultMs),
	}];
}
