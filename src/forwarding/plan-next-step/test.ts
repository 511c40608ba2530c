import {test} from 'node:test';
import {expect} from 'earl';
import {planNextStep, type NextStepQuery} from './index.js';

function createQuery(changes: Partial<NextStepQuery> = {}): NextStepQuery {
	return {
		failure: 'notRun', isRepeatable: false, runs: 0, maximumRuns: 1, attempts: 1, remainingMs: 500, takeRetry: () => true, ...changes,
	};
}

test('guards against a second run of a call that may run at most once', () => {
	expect(planNextStep(createQuery({failure: 'unknown', runs: 1}))).toEqual({type: 'give up', result: 'outcomeUnknown'});
});

test('retries a call that certainly did not run', () => {
	expect(planNextStep(createQuery()).type).toEqual('retry');
});

test('guards against more runs than the route allows', () => {
	const query = createQuery({
		failure: 'unknown', isRepeatable: true, runs: 1, maximumRuns: 2,
	});
	expect(planNextStep(query).type).toEqual('retry');
	expect(planNextStep({...query, runs: 2})).toEqual({type: 'give up', result: 'outcomeUnknown'});
});

test('guards against reporting a call as not run after an earlier attempt that may have run', () => {
	expect(planNextStep(createQuery({
		failure: 'notRun', isRepeatable: true, runs: 1, takeRetry: () => false,
	})))
		.toEqual({type: 'give up', result: 'outcomeUnknown'});
});

test('guards against retries beyond the budget and against taking from it when a retry is not possible', () => {
	let takenRetries = 0;
	const takeRetry = () => {
		takenRetries += 1;
		return false;
	};

	expect(planNextStep(createQuery({takeRetry}))).toEqual({type: 'give up', result: 'targetRefused'});
	expect(planNextStep(createQuery({failure: 'unknown', takeRetry})).type).toEqual('give up');
	expect(planNextStep(createQuery({remainingMs: 5, takeRetry})).type).toEqual('give up');
	expect(takenRetries).toEqual(1);
});

test('reports an interrupted response as a broken stream', () => {
	expect(planNextStep(createQuery({failure: 'broken', runs: 1}))).toEqual({type: 'give up', result: 'streamBroken'});
});

test('guards against failing calls to a crashed target when the retry budget is empty: calls that were never sent go to another target', () => {
	expect(planNextStep(createQuery({failure: 'notSent', takeRetry: () => false})).type).toEqual('retry');
	expect(planNextStep(createQuery({failure: 'notSent', attempts: 4, takeRetry: () => false}))).toEqual({type: 'give up', result: 'targetRefused'});
});
