/**
 * Calculates how many engines may change to other weights at the same time.
 *
 * An engine that changes serves nothing, and the calls of the others get slower with each engine that is missing. While the
 * engines are busy, only as many change as the limits of the old weights require; while they are nearly idle, many change at
 * once, so that few calls are answered on old weights. A version that is replaced before an engine has loaded it is left out.
 *
 * Load pattern: new weights are announced every few seconds in the middle of a burst. If four tenths of the engines loaded them
 * each time, most calls of the burst would be late.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** What the limit depends on. */
export type ChangingQuery = {
	/** Engines that serve the model. */
	readonly engineCount: number;
	/** For each engine with old weights, from when on no call may be sent to it; undefined if that is not known. */
	readonly limits: ReadonlyArray<MonotonicMs | undefined>;
	/** Mean load of the engines, as the number of prompt tokens that take the same effort. */
	readonly meanLoadTokens: number;
};

/** Share of the engines that may change at once while they are idle, and while they are busy. */
const idleShare = 0.4;
const busyShare = 0.15;
/** Mean load up to which engines count as idle, in prompt tokens: a new call waits for no more than one prompt. */
const idleLoadTokens = 2500;
/** Mean load from which engines count as busy, in prompt tokens: a new call waits for several prompts. */
const busyLoadTokens = 7000;
/** Time that an engine takes for a change, including the time until its calls have ended, in milliseconds. */
const changeMs = 2000;
/** Time by which the last engine is to be ready before its limit, in milliseconds. */
const marginMs = 1500;

/** Calculates the number of engines; at least 1. */
export function calculateChangingLimit({engineCount, limits, meanLoadTokens}: ChangingQuery, now: MonotonicMs): number {
	const highest = Math.max(1, Math.floor(engineCount * idleShare));
	const spare = Math.max(1, Math.floor(engineCount * calculateSpareShare(meanLoadTokens)));
	return Math.min(highest, Math.max(spare, calculateRequired(limits, now)));
}

/** Calculates the share of the engines that the others can do without. */
function calculateSpareShare(loadTokens: number): number {
	const busyness = Math.min(1, Math.max(0, (loadTokens - idleLoadTokens) / (busyLoadTokens - idleLoadTokens)));
	return idleShare - ((idleShare - busyShare) * busyness);
}

/** Calculates how many engines have to change at once so that each is ready before its limit, those with the earliest limit first. */
function calculateRequired(limits: ChangingQuery['limits'], now: MonotonicMs): number {
	const sorted = limits.filter(limit => limit !== undefined).toSorted((a, b) => a - b);
	const required = sorted.map((limit, index) => Math.ceil((index + 1) * changeMs / Math.max(changeMs, limit - marginMs - now)));
	return Math.max(0, ...required);
}
