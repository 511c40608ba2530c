import {test} from 'node:test';
import {expect} from 'earl';
import type {RolloutStage, RolloutState} from '../rollout-types/index.js';
import {calculateShiftAgeMs, planStage, type StageQuery} from './index.js';

const bounds = {exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5000};

/** Creates the query of a good version at 200 requests a second, halfway through 12 s. */
function createQuery(changes: Partial<StageQuery> = {}): StageQuery {
	return {
		durationMs: 12_000, ageMs: 6000, status: undefined, stageAgeMs: 3000, bounds, stopReason: undefined, requests: 1200, newRequests: 60, newAnswers: 59,
		typicalMs: 40, drainMs: 100, hasNewTargets: true, hasPreviousTargets: true, callsLeft: 0, haveAllStated: true, ...changes,
	};
}

function createStatus(stage: RolloutStage, state: RolloutState = 'serving') {
	return {state, stage, share: 0.05};
}

test('begins with a canary below the share that a bad version may get', () => {
	const plan = planStage(createQuery({ageMs: 100, requests: 0, newRequests: 0}));
	expect([plan?.state, plan?.stage]).toEqual(['serving', 'canary']);
	expect(plan!.share > 0.02 && plan!.share <= 0.05).toEqual(true);
});

test('guards against a canary that shows too little where there are few requests', () => {
	const plan = planStage(createQuery({
		status: createStatus('canary'), ageMs: 2000, requests: 40, newRequests: 2, newAnswers: 2,
	}));
	expect([plan?.stage, (plan?.share ?? 0) > 0.1]).toEqual(['canary', true]);
});

test('guards against a canary that takes what the shift needs', () => {
	const plan = planStage(createQuery({status: createStatus('canary'), newRequests: 180}));
	expect([plan?.stage, (plan?.share ?? 1) < 0.01]).toEqual(['canary', true]);
});

test('shifts as late as the calls at the old version allow', () => {
	const status = createStatus('canary');
	const shiftAt = calculateShiftAgeMs({durationMs: 12_000, drainMs: 100});
	expect(shiftAt > 10_000 && shiftAt < 10_800).toEqual(true);
	expect(planStage(createQuery({
		status, ageMs: shiftAt - 1, newRequests: 130, requests: 2100,
	}))?.stage === 'shift').toEqual(false);
	expect(planStage(createQuery({status, ageMs: shiftAt}))?.stage).toEqual('shift');
	expect(calculateShiftAgeMs({durationMs: 12_000, drainMs: 2000}) < 8600).toEqual(true);
	expect(calculateShiftAgeMs({durationMs: 12_000, drainMs: 60_000})).toEqual(6000);
});

test('guards against a shift to a version that has answered nothing or has no targets', () => {
	const query = {
		status: createStatus('canary'), ageMs: 11_500, newRequests: 0, newAnswers: 0,
	};
	expect(planStage(createQuery(query))?.stage === 'shift').toEqual(false);
	expect(planStage(createQuery({...query, newAnswers: 5, hasNewTargets: false}))).toEqual(undefined);
});

test('guards against completion while calls are at the old version, or before the load has shown anything', () => {
	const query = {status: createStatus('shift'), ageMs: 11_000, stageAgeMs: 1000};
	expect(planStage(createQuery(query))?.state).toEqual('completed');
	expect(planStage(createQuery({...query, callsLeft: 1}))).toEqual(undefined);
	expect(planStage(createQuery({...query, stageAgeMs: 500}))).toEqual(undefined);
	expect(planStage(createQuery({...query, ageMs: 13_000, callsLeft: 1}))).toEqual(undefined);
});

test('guards against an instance that is not heard and holds completion up beyond the deadline', () => {
	const query = {
		status: createStatus('shift'), ageMs: 11_000, stageAgeMs: 1000, haveAllStated: false,
	};
	expect(planStage(createQuery(query))).toEqual(undefined);
	expect(planStage(createQuery({...query, ageMs: 11_500}))?.state).toEqual('completed');
});

test('rolls a bad version back in each stage, and leaves what has ended', () => {
	for (const stage of ['canary', 'shift'] as const) {
		expect(planStage(createQuery({status: createStatus(stage), stopReason: 'failures'}))?.state).toEqual('rolledBack');
		for (const state of ['completed', 'rolledBack'] as const) {
			expect(planStage(createQuery({status: createStatus(stage, state), stopReason: 'failures'}))).toEqual(undefined);
		}
	}

	expect(planStage(createQuery({stopReason: 'failures'}))?.state).toEqual('rolledBack');
});
