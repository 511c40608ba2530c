import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {createLogger} from '../../logging/create-logger/index.js';
import {checkBudgetBound, type FaultSchedule, type FaultStep} from './index.js';

// For a longer run: BUDGET_RUNS=500 BUDGET_SEED=7 node --import tsx --test src/budget/check-budget-bound/test.ts
const runCount = Number(process.env.BUDGET_RUNS ?? 8);
const seed = Number(process.env.BUDGET_SEED ?? 20_261_204);
const excessTolerance = 1e-6;

const instance = fc.integer({min: 0, max: 4});
const shortDurationMs = fc.integer({min: 100, max: 8000});
const longDurationMs = fc.oneof({weight: 4, arbitrary: shortDurationMs}, {weight: 1, arbitrary: fc.integer({min: 150_000, max: 215_000})});

const faultStep: fc.Arbitrary<FaultStep> = fc.oneof(
	{weight: 3, arbitrary: fc.record({kind: fc.constant('run' as const), durationMs: longDurationMs})},
	{weight: 2, arbitrary: fc.record({kind: fc.constantFrom('crash' as const, 'restart' as const, 'stop' as const), instance, durationMs: shortDurationMs})},
	{weight: 2, arbitrary: fc.record({kind: fc.constantFrom('pause' as const, 'resume' as const), instance, durationMs: longDurationMs})},
	{
		weight: 1, arbitrary: fc.record({
			kind: fc.constant('toggleVisibility' as const), instance, from: instance, durationMs: shortDurationMs,
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('storeDown' as const, 'storeUp' as const), durationMs: longDurationMs})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('toggleStoreAccess' as const), instance, durationMs: longDurationMs})},
	{
		weight: 2, arbitrary: fc.record({
			kind: fc.constant('faults' as const), message: fc.constantFrom(0, 0.05, 0.3), store: fc.constantFrom(0, 0.1, 0.4),
			lateMs: fc.constantFrom(100, 1000, 7000), durationMs: shortDurationMs,
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('resize' as const), factor: fc.constantFrom(0.25, 0.5, 1), durationMs: shortDurationMs})},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('removeOrganisation' as const, 'addOrganisation' as const), durationMs: shortDurationMs})},
);

const faultSchedule: fc.Arbitrary<FaultSchedule> = fc.record({
	seed: fc.integer({min: 1, max: 1_000_000}), instances: fc.integer({min: 1, max: 5}), burstMs: fc.constantFrom(500, 2000, 10_000),
	steps: fc.array(faultStep, {minLength: 5, maxLength: 20}),
});

const logger = createLogger({}, true);

test('guards against admitting more than burst + rate x t tokens in any interval of length t under random faults', async context => {
	let admittedRequests = 0;
	let largestExcessShare = 0;
	let ledgerWrites = 0;
	await fc.assert(fc.asyncProperty(faultSchedule, async schedule => {
		const measurement = await checkBudgetBound(schedule, logger);
		admittedRequests += measurement.admittedRequests;
		ledgerWrites += measurement.ledgerRevision;
		largestExcessShare = Math.max(largestExcessShare, measurement.excessShare);
		expect(measurement.excessShare <= 1 + excessTolerance).toEqual(true);
	}), {seed, numRuns: runCount, endOnFailure: process.env.BUDGET_SHRINK === undefined});
	context.diagnostic(`${runCount} fault schedules, ${admittedRequests} requests admitted, ${ledgerWrites} ledger writes, largest excess ${largestExcessShare.toFixed(4)} of the burst`);
	expect(admittedRequests > 0).toEqual(true);
});

const createRunStep = (durationMs: number): FaultStep => ({kind: 'run', durationMs});

test('guards against a successor that grants while its predecessor\'s grants are still valid', async () => {
	const measurement = await checkBudgetBound({
		seed: 3, instances: 3, burstMs: 500, steps: [createRunStep(10_000), ...Array.from({length: 12}, (_, index): FaultStep => ({kind: 'restart', instance: index % 3, durationMs: 3000}))],
	}, logger);
	expect(measurement.excessShare <= 1 + excessTolerance).toEqual(true);
});

test('guards against a part that is handed over as if none of its grants were valid', async () => {
	const stops = Array.from({length: 12}, (_, index): FaultStep[] => [
		{kind: 'stop', instance: index % 3, durationMs: 1500}, {kind: 'restart', instance: index % 3, durationMs: 3000},
	]);
	const measurement = await checkBudgetBound({
		seed: 7, instances: 3, burstMs: 500, steps: [createRunStep(10_000), ...stops.flat()],
	}, logger);
	expect(measurement.excessShare <= 1 + excessTolerance).toEqual(true);
	expect(measurement.ledgerRevision > 24).toEqual(true);
});

test('guards against a paused owner that keeps granting after its parts were taken over', async () => {
	const measurement = await checkBudgetBound({
		seed: 4, instances: 3, burstMs: 2000, steps: [
			createRunStep(5000),
			{kind: 'pause', instance: 1, durationMs: 215_000},
			{kind: 'resume', instance: 1, durationMs: 20_000},
			{kind: 'pause', instance: 2, durationMs: 179_000},
			{kind: 'resume', instance: 2, durationMs: 20_000},
		],
	}, logger);
	expect(measurement.excessShare <= 1 + excessTolerance).toEqual(true);
	expect(measurement.ledgerRevision > 5).toEqual(true);
});

test('guards against an organisation that gets a new burst when it is removed and added again or resized', async () => {
	const measurement = await checkBudgetBound({
		seed: 5, instances: 3, burstMs: 10_000, steps: [createRunStep(5000), ...Array.from({length: 5}, (): FaultStep[] => [
			{kind: 'removeOrganisation', durationMs: 200},
			{kind: 'addOrganisation', durationMs: 2000},
			{kind: 'resize', factor: 0.25, durationMs: 500},
			{kind: 'resize', factor: 1, durationMs: 500},
		]).flat()],
	}, logger);
	expect(measurement.excessShare <= 1 + excessTolerance).toEqual(true);
});
