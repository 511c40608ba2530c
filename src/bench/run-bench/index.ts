/**
 * The benchmark: stand-in engines and daemons as processes, one trace per fleet size, every
 * placement strategy on the same trace and load. The last line of standard output is one JSON object.
 */

import {cpus, loadavg} from 'node:os';
import process from 'node:process';
import {
	command, flag, number, option, run, string,
} from 'cmd-ts';
import {calculateOracle} from '../calculate-oracle/index.js';
import {
	calculateWarmUp, generateTrace, traceOrganisations, type TraceOptions,
} from '../generate-trace/index.js';
import {runCell} from '../run-cell/index.js';
import type {FleetOptions} from '../start-fleet/index.js';
import type {CellSummary} from '../summarise-cell/index.js';
import {
	writeReport, type BenchReport, type GoalResult, type ReportCell,
} from '../write-report/index.js';

type FleetSize = {readonly name: string; readonly engines: number; readonly instances: number};
type Strategy = {readonly name: string; readonly strategy: FleetOptions['strategy']; readonly hashedPieces: number; readonly engineBacklogMs: number};
type Plan = {
	readonly fleets: readonly FleetSize[];
	readonly strategies: readonly Strategy[];
	readonly durationMs: number;
	readonly repeats: number;
	/** Requests per second and engine while nobody floods. */
	readonly requestsPerEngine: number;
};

const cacheBlocks = 120;
const prefillTokensPerMs = 100;
const decodeMsPerToken = 4;
const slots = 16;
const eventLoss = 0.002;
/** Load at which round robin still keeps up, so that the comparison is not one with a growing queue. */
const usualRequestsPerEngine = 5;
const flooder = 3;
const floodFactor = 5;
const noLimitMs = 600_000;
const engineBacklogMs = 1000;

const strategies: readonly Strategy[] = [
	{
		name: 'roundRobin', strategy: 'roundRobin', hashedPieces: 4, engineBacklogMs: noLimitMs,
	},
	{
		name: 'leastLoaded', strategy: 'leastLoaded', hashedPieces: 4, engineBacklogMs: noLimitMs,
	},
	{
		name: 'consistentHash', strategy: 'consistentHash', hashedPieces: 4, engineBacklogMs: noLimitMs,
	},
	{
		name: 'prefix', strategy: 'prefix', hashedPieces: 4, engineBacklogMs,
	},
];
/** Consistent hashing at the depth that suits the trace best, which an operator would not know beforehand. */
const tunedHash: Strategy = {
	name: 'consistentHash-8', strategy: 'consistentHash', hashedPieces: 8, engineBacklogMs: noLimitMs,
};

const quickPlan: Plan = {
	fleets: [{name: 'fleet 1 (6 engines, 3 instances)', engines: 6, instances: 3}], strategies, durationMs: 6000, repeats: 1, requestsPerEngine: usualRequestsPerEngine,
};

function createFullPlan(options: Pick<Plan, 'durationMs' | 'repeats' | 'requestsPerEngine'>): Plan {
	return {
		fleets: [
			{name: 'fleet 1 (6 engines, 8 instances)', engines: 6, instances: 8},
			{name: 'fleet 2 (8 engines, 9 instances)', engines: 8, instances: 9},
		],
		strategies: [...strategies, tunedHash],
		...options,
	};
}

function createTraceOptions(plan: Plan, fleet: FleetSize, seed: number): TraceOptions {
	return {
		seed, durationMs: plan.durationMs, requestsPerSecond: plan.requestsPerEngine * fleet.engines, flooder, floodFactor,
	};
}

async function runPlan(plan: Plan, mode: BenchReport['mode'], seed: number): Promise<BenchReport> {
	const startedAt = new Date().toISOString();
	const cells: ReportCell[] = [];
	const goals: GoalResult[] = [];
	const oracle: Record<string, number> = {};
	for (const fleet of plan.fleets) {
		const traceOptions = createTraceOptions(plan, fleet, seed);
		const trace = generateTrace(traceOptions);
		oracle[fleet.name] = calculateOracle(trace, {engines: fleet.engines, cacheBlocks, measuredFromMs: calculateWarmUp(traceOptions)});
		for (let repeat = 0; repeat < plan.repeats; repeat += 1) {
			const summaries = new Map<string, CellSummary>();
			for (const strategy of plan.strategies) {
				const summary = await runCell(trace, traceOptions, {
					...strategy, engines: fleet.engines, instances: fleet.instances, cacheBlocks, prefillTokensPerMs, decodeMsPerToken, slots, eventLoss,
				});
				summaries.set(strategy.name, summary);
				cells.push({
					fleet: fleet.name, strategy: strategy.name, repeat, summary,
				});
				process.stderr.write(`${formatProgress(fleet, strategy.name, summary)}\n`);
			}

			goals.push(...checkGoals(summaries, oracle[fleet.name]!).map(goal => ({...goal, fleet: fleet.name, repeat})));
		}
	}

	return {
		startedAt, mode, seed, conditions: describeConditions(plan), oracle, cells, goals,
	};
}

function checkGoals(summaries: ReadonlyMap<string, CellSummary>, oracle: number): Array<Omit<GoalResult, 'fleet' | 'repeat'>> {
	const own = summaries.get('prefix')!;
	const tail = (name: string) => summaries.get(name)!.firstToken.p99;
	const baselines = [...summaries.keys()].filter(name => name !== 'prefix');
	const bestTail = Math.min(...baselines.map(name => tail(name)));
	const hashRate = summaries.get('consistentHash')!.hitRate;
	return [
		{goal: 'hit rate at least 0.9 of the all-knowing placement', measured: (own.hitRate / oracle).toFixed(3), isMet: own.hitRate >= 0.9 * oracle},
		{goal: 'hit rate above plain consistent hashing', measured: `${own.hitRate.toFixed(3)} against ${hashRate.toFixed(3)}`, isMet: own.hitRate > hashRate},
		{
			goal: 'p99 to first token at most half of round robin\'s',
			measured: `${own.firstToken.p99} ms against ${tail('roundRobin')} ms`, isMet: own.firstToken.p99 <= tail('roundRobin') / 2,
		},
		{goal: 'p99 to first token below every baseline\'s', measured: `${own.firstToken.p99} ms against ${bestTail} ms`, isMet: own.firstToken.p99 < bestTail},
		{goal: 'worst organisation\'s p99 within 1.5 times the median one\'s while another floods', measured: own.worstToMedian.toFixed(2), isMet: own.worstToMedian <= 1.5},
		{goal: 'wrongful refusals under 0.1%', measured: `${(own.wrongfulRefusals * 100).toFixed(2)}%`, isMet: own.wrongfulRefusals < 0.001},
	];
}

function describeConditions(plan: Plan): string[] {
	return [
		`One machine, ${cpus().length} cores shared with other work, load average ${loadavg().map(value => value.toFixed(1)).join(', ')} at the end; times are noisy.`,
		`Each cell lasts ${plan.durationMs / 1000} s, the first quarter of which fills cold caches and is not measured; ${plan.requestsPerEngine} requests/s an engine, ${plan.repeats} run(s).`,
		`Organisations: ${traceOrganisations.map(({name, share}) => `${name} ${share * 100}%`).join(', ')}; ${traceOrganisations[flooder]!.name} sends ${floodFactor} times its rate from 45% to 75% of the time.`,
		'Prompts: a system prompt (1 to 6 pieces), a catalogue (4 to 8), a list (3) and a unique end; half of the requests of the two large organisations go to one hot catalogue that changes twice.',
		`Engines: ${slots} slots, ${prefillTokensPerMs} prompt tokens/ms, ${decodeMsPerToken} ms a generated token, ${cacheBlocks} cached pieces, cache events 100 ms late, ${eventLoss * 100}% of them lost, load reported every 250 ms.`,
		'Scaled down: caches of 120 pieces, answers of 8 to 23 tokens, prompts of 8 to 16 pieces, engines faster than real ones so that a cell is short; fleets run one after the other; quick runs use 3 instances.',
		'Token budgets are set far above the load, so that the queue and not the budget is measured.',
	];
}

function formatProgress(fleet: FleetSize, strategy: string, summary: CellSummary): string {
	const {p50, p95, p99} = summary.firstToken;
	return `${fleet.name} ${strategy}: hit rate ${summary.hitRate.toFixed(3)}, p50/p95/p99 ${p50}/${p95}/${p99} ms, worst to median ${summary.worstToMedian.toFixed(2)}`;
}

const benchCommand = command({
	name: 'bench',
	description: 'Compares placement strategies on the same trace and load',
	args: {
		isQuick: flag({long: 'quick', description: 'one small fleet, under 60 s'}),
		seed: option({type: number, long: 'seed', defaultValue: () => 1}),
		durationMs: option({type: number, long: 'duration-ms', defaultValue: () => 25_000}),
		repeats: option({type: number, long: 'repeats', defaultValue: () => 2}),
		requestsPerEngine: option({type: number, long: 'requests-per-engine', defaultValue: () => usualRequestsPerEngine}),
		directory: option({type: string, long: 'out', defaultValue: () => 'reports'}),
	},
	async handler({
		isQuick, seed, durationMs, repeats, requestsPerEngine, directory,
	}) {
		const plan = isQuick ? quickPlan : createFullPlan({durationMs, repeats, requestsPerEngine});
		const report = await runPlan(plan, isQuick ? 'quick' : 'full', seed);
		await writeReport(report, directory);
		const cells = report.cells.map(({fleet, strategy, repeat, summary}) => ({
			fleet, strategy, repeat, ...summary, organisations: undefined,
		}));
		process.stdout.write(`${JSON.stringify({
			mode: report.mode, seed, oracle: report.oracle, goals: report.goals, cells,
		})}\n`);
	},
});

await run(benchCommand, process.argv.slice(2));
