import {test} from 'node:test';
import {expect} from 'earl';
import {RandomSource} from '../../random/random-source/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {ServiceRetryBudgets, type RetryAllowance} from './index.js';

const service = 'service-1' as ServiceId;
const allowance: RetryAllowance = {ratio: 0.2, extra: 56, windowMs: 10_000};
const at = (ms: number) => ms as MonotonicMs;

/** Creates the budgets of `count` instances that started at `startedAt`. */
function createFleet(count: number, startedAt = 0, changes: Partial<RetryAllowance> = {}) {
	return Array.from({length: count}, () => new ServiceRetryBudgets(() => ({...allowance, ...changes}), () => count, at(startedAt)));
}

/** Takes all retries that the instances have at `now`. */
function takeAll(fleet: readonly ServiceRetryBudgets[], now: number): number {
	let taken = 0;
	for (const budgets of fleet) {
		while (budgets.find(service).take(at(now))) {
			taken += 1;
		}
	}

	return taken;
}

test('guards against more retries to a failing service than all instances together may send', () => {
	const fleet = createFleet(8);
	const calls = 100;
	let retries = takeAll(fleet, 60_000);
	for (const budgets of fleet) {
		for (let call = 0; call < calls; call += 1) {
			budgets.find(service).recordCall(at(60_000 + (call * 90)));
			retries += budgets.find(service).take(at(60_000 + (call * 90))) ? 1 : 0;
		}
	}

	expect(retries <= (0.2 * calls * 8) + 56).toEqual(true);
});

test('guards against calls without a retry although the budget allows it', () => {
	const fleet = createFleet(8);
	for (const budgets of fleet) {
		for (let call = 0; call < 100; call += 1) {
			budgets.find(service).recordCall(at(60_000 + (call * 90)));
		}
	}

	// Half of what the allowance permits in a window is there at once, whatever the moment of the failure.
	expect(takeAll(fleet, 69_000) >= ((0.2 * 100 * 8) + 56) / 2).toEqual(true);
});

test('guards against a restart of all instances that adds retries to those of the window', () => {
	let retries = takeAll(createFleet(8), 60_000);
	for (const startedAt of [62_000, 64_000, 66_000]) {
		retries += takeAll(createFleet(8, startedAt), startedAt + 1000);
	}

	expect(retries <= 56).toEqual(true);
});

test('guards against changed settings that fill the budget again', () => {
	const changing = {...allowance};
	const fleet = Array.from({length: 8}, () => new ServiceRetryBudgets(() => ({...changing}), () => 8, at(0)));
	let retries = takeAll(fleet, 60_000);
	for (const extra of [57, 20, 56]) {
		changing.extra = extra;
		retries += takeAll(fleet, 60_100);
	}

	expect(retries <= 56).toEqual(true);
});

test('guards against more retries than allowed where there are more instances than extra retries', () => {
	expect(takeAll(createFleet(350, 0, {extra: 54}), 60_000) <= 54).toEqual(true);
});

test('guards against instances that keep their share when others join', () => {
	let count = 1;
	const createInstance = (startedAt: number) => new ServiceRetryBudgets(() => allowance, () => count, at(startedAt));
	const first = createInstance(0);
	expect(first.find(service).readLevel(at(60_000)) > 56 / 9).toEqual(true);
	count = 9;
	const others = Array.from({length: 8}, () => createInstance(60_000));
	expect(first.find(service).readLevel(at(60_100)) <= 56 / 9).toEqual(true);
	expect(takeAll([first, ...others], 70_000) <= 56).toEqual(true);
});

/** Counts of one simulated run, by the millisecond at which they happened. */
type Run = {readonly calls: number[]; readonly retries: number[]};

const runMs = 60_000;
const stepMs = 20;

/** Lets instances take every retry that they can while they restart, join, leave and read changed settings. */
function simulateRun(seed: number): Run {
	const random = new RandomSource(seed);
	const calls: number[] = [];
	const retries: number[] = [];
	let count = 4 + random.pickIndex(8);
	const createInstance = (now: number) => new ServiceRetryBudgets(() => allowance, () => count, at(now));
	let fleet = Array.from({length: count}, () => createInstance(0));
	for (let now = 0; now < runMs; now += stepMs) {
		if (random.pickIndex(100) === 0) {
			const index = random.pickIndex(count);
			fleet = fleet.map((budgets, other) => other === index ? createInstance(now) : budgets);
		}

		if (random.pickIndex(300) === 0) {
			fleet.push(createInstance(now));
			count += 1;
		}

		for (const budgets of fleet) {
			if (random.pickIndex(5) === 0) {
				budgets.find(service).recordCall(at(now));
				calls.push(now);
			}
		}

		const isFailing = Math.floor(now / 2500) % 2 === 1;
		const taken = isFailing ? takeAll(fleet, now) : 0;
		retries.push(...Array.from({length: taken}, () => now));
	}

	return {calls, retries};
}

/** Returns by how many retries the worst window exceeds the allowance; negative if none does. */
function measureExcess({calls, retries}: Run): number {
	const {ratio, extra, windowMs} = allowance;
	const countWithin = (times: readonly number[], from: number) => times.filter(time => time >= from && time < from + windowMs).length;
	let excess = -Infinity;
	for (let from = 0; from <= runMs - windowMs; from += 500) {
		const countedCalls = Math.max(...[from, from - (windowMs / 2), from - windowMs].map(start => countWithin(calls, start)));
		excess = Math.max(excess, countWithin(retries, from) - (ratio * countedCalls) - extra);
	}

	return excess;
}

for (const seed of [1, 2, 3, 4, 5]) {
	test(`guards against a window with more retries than allowed while instances restart and join, seed ${seed}`, () => {
		const run = simulateRun(seed);
		expect([measureExcess(run) <= 0, run.retries.length > 200]).toEqual([true, true]);
	});
}
