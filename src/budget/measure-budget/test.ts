import {test} from 'node:test';
import {expect} from 'earl';
import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {OrganisationId} from '../../identity/ids/index.js';
import {createLogger} from '../../logging/create-logger/index.js';
import {createRandom} from '../create-random/index.js';
import {SimulatedFleet} from '../simulated-fleet/index.js';
import {StaticBudgetGate} from '../static-budget-gate/index.js';
import {measureBudget, type BudgetMeasurement, type BudgetLoad} from './index.js';

const instances = 8;
const warmUpMs = 20_000;
const isStaticGate = process.env.BUDGET_GATE === 'static';
const seeds = (process.env.BUDGET_SEEDS ?? '1').split(',').map(Number);

const organisations = [200_000, 100_000, 50_000, 20_000, 10_000].map((tokensPerSecond, index): ResolvedOrganisation => ({
	id: `organisation-${index}` as OrganisationId, tokensPerSecond, burstTokens: 2 * tokensPerSecond, weight: 1,
}));

type Scenario = {
	readonly name: string;
	readonly durationMs: number;
	/** Limit of wrongful refusals, as a share of the requests of organisations within their rate. */
	readonly goal: number;
	readonly plan: (fleet: SimulatedFleet, random: () => number) => Partial<BudgetLoad>;
};

const scenarios: Scenario[] = [
	{
		name: 'spread evenly', durationMs: 60_000, goal: 0.001, plan: () => ({}),
	},
	{
		name: 'each organisation on one instance, moving every 10 s', durationMs: 60_000, goal: 0.001,
		plan: () => ({chooseInstance: (id, elapsedMs) => (Number(id.slice(-1)) + Math.floor(elapsedMs / 10_000)) % instances}),
	},
	{
		name: 'one organisation at five times its rate', durationMs: 60_000, goal: 0.001,
		plan: () => ({chooseLoadFactor: id => id === 'organisation-1' ? 5 : 0.8}),
	},
	{
		name: 'an instance restarts gracefully', durationMs: 60_000, goal: 0.001,
		plan: fleet => ({
			events: [
				{
					atMs: 20_000, run() {
						void fleet.stopNode(2);
					},
				},
				{
					atMs: 22_000, run() {
						fleet.startNode(2);
					},
				},
			],
		}),
	},
	{
		name: 'all instances restart gracefully one after the other', durationMs: 60_000, goal: 0.001,
		plan: fleet => ({
			events: Array.from({length: instances}, (_, index) => [
				{
					atMs: 2000 + (3000 * index), run() {
						void fleet.stopNode(index);
					},
				},
				{
					atMs: 4000 + (3000 * index), run() {
						fleet.startNode(index);
					},
				},
			]).flat(),
		}),
	},
	{
		name: 'an instance crashes and restarts after 3 s', durationMs: 60_000, goal: 0.001,
		plan: fleet => ({
			events: [
				{
					atMs: 20_000, run() {
						fleet.nodes[2]?.setState('crashed');
					},
				},
				{
					atMs: 23_000, run() {
						fleet.startNode(2);
					},
				},
			],
		}),
	},
	{
		name: 'an instance crashes and does not return', durationMs: 240_000, goal: 0.001,
		plan: fleet => ({
			events: [{
				atMs: 20_000, run() {
					fleet.nodes[2]?.setState('crashed');
				},
			}],
		}),
	},
	{
		name: 'the store is down for a minute, traffic skewed', durationMs: 90_000, goal: 0.01,
		plan: fleet => ({
			chooseInstance: (id, elapsedMs) => (Number(id.slice(-1)) + Math.floor(elapsedMs / 10_000)) % instances,
			events: [
				{
					atMs: 10_000, run() {
						fleet.store.setDown(true);
					},
				},
				{
					atMs: 70_000, run() {
						fleet.store.setDown(false);
					},
				},
			],
		}),
	},
	{
		name: 'an instance restarts while the store is down', durationMs: 90_000, goal: 0.01,
		plan: fleet => ({
			events: [
				{
					atMs: 10_000, run() {
						fleet.store.setDown(true);
					},
				},
				{
					atMs: 20_000, run() {
						fleet.nodes[2]?.setState('crashed');
					},
				},
				{
					atMs: 23_000, run() {
						fleet.startNode(2);
					},
				},
				{
					atMs: 70_000, run() {
						fleet.store.setDown(false);
					},
				},
			],
		}),
	},
];

async function runScenario(scenario: Scenario, seed: number): Promise<BudgetMeasurement[]> {
	const random = createRandom(seed);
	const createGate = isStaticGate ? (clock: SimulatedFleet['clock'], count: number) => new StaticBudgetGate(clock, 1 / count) : undefined;
	const fleet = new SimulatedFleet({
		random, instances, organisations, logger: createLogger({}, true), createGate,
	});
	await fleet.clock.advance(warmUpMs);
	const load = scenario.plan(fleet, random);
	const chooseLiveInstance = () => {
		const liveInstances = fleet.nodes.flatMap((node, index) => node.state === 'live' ? [index] : []);
		return liveInstances[Math.floor(random() * liveInstances.length)] ?? 0;
	};

	return measureBudget({
		fleet, random, organisations, durationMs: scenario.durationMs, chooseLoadFactor: () => 0.8, chooseInstance: chooseLiveInstance, ...load,
	});
}

for (const scenario of scenarios) {
	for (const seed of seeds) {
		test(`guards against wrongful refusals and overspending: ${scenario.name} (seed ${seed})`, async context => {
			const measurements = await runScenario(scenario, seed);
			const withinRate = measurements.filter(({offeredTokens, referenceTokens}) => referenceTokens > 0.9 * offeredTokens);
			const offeredRequests = withinRate.reduce((sum, measurement) => sum + measurement.offered, 0);
			const wrongfulRefusals = withinRate.reduce((sum, measurement) => sum + measurement.wrongfulRefusals, 0);
			const excessShare = Math.max(...measurements.map(measurement => measurement.excessShare));
			const overRate = measurements.find(measurement => !withinRate.includes(measurement));
			const overRateText = overRate === undefined ? '' : `; over its rate: ${(overRate.admittedTokens / overRate.referenceTokens).toFixed(3)} of the reference bucket's tokens admitted`;
			context.diagnostic(`${offeredRequests} requests within rate, ${wrongfulRefusals} refused wrongly (${(100 * wrongfulRefusals / offeredRequests).toFixed(3)}%), `
				+ `largest excess ${excessShare.toFixed(3)} of the burst${overRateText}`);
			expect(excessShare <= 1 + 1e-6).toEqual(true);
			expect(wrongfulRefusals <= scenario.goal * offeredRequests).toEqual(true);
		});
	}
}
