/** Plans the faults of a soak from its seed: they come in series, overlap, and leave a quiet end. */

import {RandomSource} from '../../random/random-source/index.js';

/** Kinds of faults, by what they act on. */
export const faultKinds = {
	instance: ['pause', 'kill', 'terminate', 'hangUp', 'storeSilent', 'storeDeaf', 'storeReset', 'storeDelay'],
	fleet: ['killAll', 'storeDown', 'storeWritesLost', 'storeForgets'],
	target: ['crash', 'replace', 'hang', 'errors', 'lost', 'cut', 'pathReset', 'pathSilent', 'pathDelay'],
	operator: ['configure', 'withdrawKey', 'nameWeights'],
} as const;

/** Any kind of fault. */
export type FaultKind = (typeof faultKinds)[keyof typeof faultKinds][number];

/** One fault. */
export type PlannedFault = {
	/** Milliseconds from the start of the faults. */
	readonly at: number;
	readonly kind: FaultKind;
	/** Which instance or target it acts on, by a number that is reduced to their count. */
	readonly victim: number;
	readonly durationMs: number;
};

/** Mean time between two series, in milliseconds. */
const seriesIntervalMs = 900;
/** Faults in one series at most. */
const longestSeries = 3;
/** Time between two faults of a series at most, in milliseconds. */
const seriesPauseMs = 400;
const shortestMs = 200;
const longestMs = 3500;
const maximumVictim = 1000;

/** Plans the faults of `durationMs`; the same seed gives the same plan. */
export function planFaults(seed: number, durationMs: number): PlannedFault[] {
	const random = new RandomSource(seed);
	const groups = Object.values(faultKinds);
	const faults: PlannedFault[] = [];
	let at = 0;
	while (at < durationMs) {
		let next = at;
		for (let count = 1 + random.pickIndex(longestSeries); count > 0 && next < durationMs; count -= 1) {
			const kinds = groups[random.pickIndex(groups.length)]!;
			faults.push({
				at: next, kind: kinds[random.pickIndex(kinds.length)]!, victim: random.pickIndex(maximumVictim),
				durationMs: Math.min(durationMs - next, shortestMs + random.pickIndex(longestMs)),
			});
			next += random.pickIndex(seriesPauseMs);
		}

		at += random.spreadPause(seriesIntervalMs);
	}

	return faults;
}
