import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createLogger} from '../../logging/create-logger/index.js';
import {checkBudgetBound, type FaultCourse, type FaultStep} from './index.js';

// A long run: BUDGET_RUNS=500 BUDGET_SEED=7 node --import tsx --test src/budget/check-budget-bound/test.ts
const runs = Number(process.env.BUDGET_RUNS ?? 8);
const seed = Number(process.env.BUDGET_SEED ?? 20_261_204);
const rounding = 1e-6;

const instance = fc.integer({min: 0, max: 4});
const short = fc.integer({min: 100, max: 8000});
const long = fc.oneof({weight: 4, arbitrary: short}, {weight: 1, arbitrary: fc.integer({min: 150_000, max: 215_000})});

const step: fc.Arbitrary<FaultStep> = fc.oneof(
	{weight: 3, arbitrary: fc.record({kind: fc.constant('run' as const), forMs: long})},
	{weight: 2, arbitrary: fc.record({kind: fc.constantFrom('crash' as const, 'restart' as const, 'stop' as const), instance, forMs: short})},
	{weight: 2, arbitrary: fc.record({kind: fc.constantFrom('pause' as const, 'resume' as const), instance, forMs: long})},
	{
		weight: 1, arbitrary: fc.record({
			kind: fc.constant('hide' as const), instance, from: instance, forMs: short,
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('storeDown' as const, 'storeUp' as const), forMs: long})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('cutStore' as const), instance, forMs: long})},
	{
		weight: 2, arbitrary: fc.record({
			kind: fc.constant('faults' as const), message: fc.constantFrom(0, 0.05, 0.3), store: fc.constantFrom(0, 0.1, 0.4),
			lateMs: fc.constantFrom(100, 1000, 7000), forMs: short,
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('resize' as const), factor: fc.constantFrom(0.25, 0.5, 1), forMs: short})},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('removeOrganisation' as const, 'addOrganisation' as const), forMs: short})},
);

const course: fc.Arbitrary<FaultCourse> = fc.record({
	seed: fc.integer({min: 1, max: 1_000_000}), instances: fc.integer({min: 1, max: 5}), burstMs: fc.constantFrom(500, 2000, 10_000),
	steps: fc.array(step, {minLength: 5, maxLength: 20}),
});

const logger = createLogger({}, true);

test('guards against more than burst + rate x t over any interval, whatever fails', async context => {
	let admitted = 0;
	let largest = 0;
	let changes = 0;
	await fc.assert(fc.asyncProperty(course, async tried => {
		const figures = await checkBudgetBound(tried, logger);
		admitted += figures.admitted;
		changes += figures.ledgerRevision;
		largest = Math.max(largest, figures.excess);
		expect(figures.excess <= 1 + rounding).toEqual(true);
	}), {seed, numRuns: runs, endOnFailure: process.env.BUDGET_SHRINK === undefined});
	context.diagnostic(`${runs} courses, ${admitted} requests admitted, ${changes} ledger writes, largest excess ${largest.toFixed(4)} of the burst`);
	expect(admitted > 0).toEqual(true);
});

const run = (forMs: number): FaultStep => ({kind: 'run', forMs});

test('guards against a successor that grants while its predecessor\'s grants are still valid', async () => {
	const figures = await checkBudgetBound({
		seed: 3, instances: 3, burstMs: 500, steps: [run(10_000), ...Array.from({length: 12}, (_, index): FaultStep => ({kind: 'restart', instance: index % 3, forMs: 3000}))],
	}, logger);
	expect(figures.excess <= 1 + rounding).toEqual(true);
});

test('guards against a part that is handed over as if none of its grants were valid', async () => {
	const stops = Array.from({length: 12}, (_, index): FaultStep[] => [
		{kind: 'stop', instance: index % 3, forMs: 1500}, {kind: 'restart', instance: index % 3, forMs: 3000},
	]);
	const figures = await checkBudgetBound({
		seed: 7, instances: 3, burstMs: 500, steps: [run(10_000), ...stops.flat()],
	}, logger);
	expect(figures.excess <= 1 + rounding).toEqual(true);
	expect(figures.ledgerRevision > 24).toEqual(true);
});

test('guards against a paused owner that goes on after its parts were taken over', async () => {
	const figures = await checkBudgetBound({
		seed: 4, instances: 3, burstMs: 2000, steps: [
			run(5000),
			{kind: 'pause', instance: 1, forMs: 215_000},
			{kind: 'resume', instance: 1, forMs: 20_000},
			{kind: 'pause', instance: 2, forMs: 179_000},
			{kind: 'resume', instance: 2, forMs: 20_000},
		],
	}, logger);
	expect(figures.excess <= 1 + rounding).toEqual(true);
	expect(figures.ledgerRevision > 5).toEqual(true);
});

test('guards against an organisation that gets its burst again when it is removed and added', async () => {
	const figures = await checkBudgetBound({
		seed: 5, instances: 3, burstMs: 10_000, steps: [run(5000), ...Array.from({length: 5}, (): FaultStep[] => [
			{kind: 'removeOrganisation', forMs: 200},
			{kind: 'addOrganisation', forMs: 2000},
			{kind: 'resize', factor: 0.25, forMs: 500},
			{kind: 'resize', factor: 1, forMs: 500},
		]).flat()],
	}, logger);
	expect(figures.excess <= 1 + rounding).toEqual(true);
});
