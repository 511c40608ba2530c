import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {RetryBudget, type RetryShare} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const createShare = (changes: Partial<RetryShare> = {}): RetryShare => ({
	retriesPerCall: 0.2, extraRetries: 8, windowMs: 10_000, ...changes,
});

function takeAll(budget: RetryBudget, now: number): number {
	let taken = 0;
	while (budget.take(at(now))) {
		taken += 1;
	}

	return taken;
}

test('guards against a new process that begins with retries', () => {
	const budget = new RetryBudget(() => createShare(), at(0));
	expect([budget.take(at(0)), budget.counts]).toEqual([false, {taken: 0, refused: 1}]);
});

test('guards against a budget that never fills without calls', () => {
	const budget = new RetryBudget(() => createShare(), at(0));
	expect([takeAll(budget, 5000), takeAll(budget, 10_000), takeAll(budget, 60_000)]).toEqual([2, 2, 4]);
});

test('guards against retries of calls that are no longer in the window', () => {
	const budget = new RetryBudget(() => createShare({extraRetries: 0}), at(0));
	for (let call = 0; call < 50; call += 1) {
		budget.recordCall(at(1000));
	}

	expect([budget.readLevel(at(1000)), budget.readLevel(at(9000)), budget.readLevel(at(12_000))]).toEqual([10, 10, 0]);
});

test('guards against a retry that is lost because it was taken and not sent', () => {
	const budget = new RetryBudget(() => createShare({extraRetries: 2}), at(0));
	expect([budget.take(at(10_000)), budget.take(at(10_000))]).toEqual([true, false]);
	budget.refund(at(10_000));
	expect([budget.take(at(10_100)), budget.take(at(10_100)), budget.counts.taken]).toEqual([true, false, 1]);
});

test('guards against a call that adds to the budget although it was not sent', () => {
	const budget = new RetryBudget(() => createShare({retriesPerCall: 1, extraRetries: 0}), at(0));
	budget.recordCall(at(0));
	budget.withdrawCall(at(100));
	expect(budget.take(at(100))).toEqual(false);
});

test('guards against a changed window that keeps retries of the former one', () => {
	let share = createShare({extraRetries: 0});
	const budget = new RetryBudget(() => share, at(0));
	for (let call = 0; call < 50; call += 1) {
		budget.recordCall(at(1000));
	}

	share = createShare({extraRetries: 0, windowMs: 20_000});
	expect(budget.readLevel(at(1000))).toEqual(0);
});
