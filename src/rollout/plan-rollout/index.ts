/**
 * Plans how engines change to newly named weights.
 *
 * Load pattern: new weights are named every few seconds under full traffic. An engine that loads serves
 * nothing, a call that is still running when the load begins is wasted, and loads slow each other down.
 * So a part of the engines at a time is first kept free of new calls until its running ones have ended,
 * then loads, while the others serve.
 */

import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';

/** Where an engine is in its change. */
export type RolloutPhase
	= | {readonly type: 'cordoned' | 'unreachable'; readonly since: MonotonicMs}
		| {readonly type: 'loading'; readonly since: MonotonicMs; readonly version: number};

/** One engine as far as the plan goes. */
export type RolloutEngine = {
	readonly id: TargetId;
	readonly version: number;
	/** Calls in progress, as far as this instance knows. */
	readonly calls: number;
	readonly phase: RolloutPhase | undefined;
};

/** What is to be done now. */
export type RolloutStep
	= | {readonly type: 'cordon' | 'order' | 'release'; readonly id: TargetId}
		| {readonly type: 'report'; readonly id: TargetId};

/** Part of the engines that change at a time. */
const changingShare = 0.4;
/** Time without new calls before the order, in milliseconds; most calls end within it. */
export const cordonMs = 300;
/** Shortest time of a load, in milliseconds; before it, asking is of no use. */
const shortestLoadMs = 600;
/** Time after which an engine that could not be reached is tried again, in milliseconds. A restarted one is another engine and not held up. */
const unreachableMs = 2500;
/** Time after which an order counts as lost, in milliseconds. */
const loadTimeoutMs = 4000;

/** Plans the next steps towards `wanted`. */
export function planRollout(engines: readonly RolloutEngine[], wanted: number, now: MonotonicMs): RolloutStep[] {
	const steps: RolloutStep[] = [];
	let changing = 0;
	for (const engine of engines) {
		const step = planPhase(engine, wanted, now);
		if (step !== undefined) {
			steps.push(step);
		}

		changing += engine.phase === undefined || engine.phase.type === 'unreachable' || step?.type === 'release' ? 0 : 1;
	}

	const room = Math.max(1, Math.floor(engines.length * changingShare)) - changing;
	const lagging = engines.filter(engine => engine.phase === undefined && engine.version < wanted);
	const next = lagging.toSorted((a, b) => a.version - b.version || a.calls - b.calls).slice(0, Math.max(0, room));
	return [...steps, ...next.map(({id}): RolloutStep => ({type: 'cordon', id}))];
}

function planPhase({id, version, phase}: RolloutEngine, wanted: number, now: MonotonicMs): RolloutStep | undefined {
	if (phase === undefined) {
		return undefined;
	}

	const age = now - phase.since;
	switch (phase.type) {
		case 'unreachable': {
			return age >= unreachableMs ? {type: 'release', id} : undefined;
		}

		case 'cordoned': {
			if (version >= wanted) {
				return {type: 'release', id};
			}

			return age >= cordonMs ? {type: 'order', id} : undefined;
		}

		case 'loading': {
			if (version >= phase.version) {
				return {type: 'release', id};
			}

			if (age > loadTimeoutMs) {
				return {type: 'order', id};
			}

			return age > shortestLoadMs ? {type: 'report', id} : undefined;
		}
	}
}
