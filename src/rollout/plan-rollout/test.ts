import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {
	minimumCordonMs, planRollout, type RolloutEngine, type RolloutPhase,
} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

function createEngine(id: string, version: number, phase?: RolloutPhase, callsInFlight = 0): RolloutEngine {
	return {
		id: id as TargetId, version, callsInFlight, phase,
	};
}

/** Runs the plan for engines that load within `loadMs`. Returns the time until all have version 2 and the largest number that changed at once. */
function simulateRollout(count: number, loadMs: number): {doneMs: number; mostChanging: number} {
	const engines = Array.from({length: count}, (_, index) => ({...createEngine(`e${index}`, 1), loadedAt: Infinity}));
	let mostChanging = 0;
	for (let now = 0; now < 60_000; now += 100) {
		for (const engine of engines) {
			Object.assign(engine, now >= engine.loadedAt && {version: 2});
		}

		for (const step of planRollout(engines, 2, at(now))) {
			const updates = {
				cordon: {phase: {type: 'cordoned', since: at(now)}},
				order: {phase: {type: 'loading', since: at(now), version: 2}, loadedAt: now + loadMs},
				release: {phase: undefined},
				report: {},
			};
			Object.assign(engines.find(({id}) => id === step.id)!, updates[step.type]);
		}

		mostChanging = Math.max(mostChanging, engines.filter(engine => engine.phase !== undefined).length);
		if (engines.every(engine => engine.version === 2 && engine.phase === undefined)) {
			return {doneMs: now, mostChanging};
		}
	}

	return {doneMs: Infinity, mostChanging};
}

test('guards against too many engines that change at once and against a rollout beyond the time limit, on small and large fleets', () => {
	for (const count of [1, 2, 3, 6, 8, 63, 98]) {
		const {doneMs, mostChanging} = simulateRollout(count, 900);
		expect(doneMs < 7500).toEqual(true);
		expect(mostChanging <= Math.max(1, count / 2)).toEqual(true);
	}
});

test('cordons the engines with the fewest calls first and orders a load only after the minimum cordon time', () => {
	const engines = [createEngine('a', 1, undefined, 9), createEngine('b', 1, undefined, 0), createEngine('c', 1, undefined, 5)];
	expect(planRollout(engines, 2, at(0))).toEqual([{type: 'cordon', id: 'b' as TargetId}]);
	const cordoned = [createEngine('b', 1, {type: 'cordoned', since: at(0)})];
	expect(planRollout(cordoned, 2, at(minimumCordonMs - 1))).toEqual([]);
	expect(planRollout(cordoned, 2, at(minimumCordonMs))).toEqual([{type: 'order', id: 'b' as TargetId}]);
});

test('guards against an unreachable engine that blocks the rollout of others', () => {
	const engines = [createEngine('gone', 1, {type: 'unreachable', since: at(0)}), createEngine('b', 1)];
	expect(planRollout(engines, 2, at(500))).toEqual([{type: 'cordon', id: 'b' as TargetId}]);
	expect(planRollout(engines, 2, at(2500))).toEqual([{type: 'release', id: 'gone' as TargetId}, {type: 'cordon', id: 'b' as TargetId}]);
});

test('reads the report of a loading engine and repeats the order after the load timeout', () => {
	const loading = [createEngine('a', 1, {type: 'loading', since: at(0), version: 2})];
	expect(planRollout(loading, 2, at(700))).toEqual([{type: 'report', id: 'a' as TargetId}]);
	expect(planRollout(loading, 2, at(5000))).toEqual([{type: 'order', id: 'a' as TargetId}]);
	const reported = [createEngine('a', 1, {
		type: 'loading', since: at(0), version: 2, reportedAt: at(4000),
	})];
	expect(planRollout(reported, 2, at(5000))).toEqual([{type: 'report', id: 'a' as TargetId}]);
	expect(planRollout(reported, 2, at(9000))).toEqual([{type: 'order', id: 'a' as TargetId}]);
});
