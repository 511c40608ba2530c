/**
 * Runs the benchmark: starts stand-in engines and daemons as processes, and sends one trace per fleet
 * size to each placement strategy. The last line of standard output is one JSON object.
 */

import {cpus, loadavg} from 'node:os';
import process from 'node:process';
import {
	command, flag, number, option, run, string,
} from 'cmd-ts';
import {calculateOracleHitRate} from '../calculate-oracle-hit-rate/index.js';
import {
	calculateWarmUpMs, generateTrace, traceOrganisations, type TraceOptions,
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
/** Round robin still keeps up at this load, so that its results don't come from a growing queue. */
const defaultRequestsPerEngine = 5;
const flooder = 3;
const floodFactor = 5;
const unlimitedBacklogMs = 600_000;
const engineBacklogMs = 1000;

const strategies: readonly Strategy[] = [
	{
		name: 'roundRobin', strategy: 'roundRobin', hashedPieces: 4, engineBacklogMs: unlimitedBacklogMs,
	},
	{
		name: 'leastLoaded', strategy: 'leastLoaded', hashedPieces: 4, engineBacklogMs: unlimitedBacklogMs,
	},
	{
		name: 'consistentHash', strategy: 'consistentHash', hashedPieces: 4, engineBacklogMs: unlimitedBacklogMs,
	},
	{
		name: 'prefix', strategy: 'prefix', hashedPieces: 4, engineBacklogMs,
	},
];
/** Consistent hashing over the prefix length that fits the trace best, which an operator could not know in advance. */
const tunedConsistentHash: Strategy = {
	name: 'consistentHash-8', strategy: 'consistentHash', hashedPieces: 8, engineBacklogMs: unlimitedBacklogMs,
};

const quickPlan: Plan = {
	fleets: [{name: 'fleet 1 (6 engines, 3 instances)', engines: 6, instances: 3}], strategies, durationMs: 6000, repeats: 1, requestsPerEngine: defaultRequestsPerEngine,
};

function createFullPlan(options: Pick<Plan, 'durationMs' | 'repeats' | 'requestsPerEngine'>): Plan {
	return {
		fleets: [
			{name: 'fleet 1 (6 engines, 8 instances)', engines: 6, instances: 8},
			{name: 'fleet 2 (8 engines, 9 instances)', engines: 8, instances: 9},
		],
		strategies: [...strategies, tunedConsistentHash],
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
		oracle[fleet.name] = calculateOracleHitRate(trace, {engines: fleet.engines, cacheBlocks, measuredFromMs: calculateWarmUpMs(traceOptions)});
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

function checkGoals(summaries: ReadonlyMap<string, CellSummary>, oracleHitRate: number): Array<Omit<GoalResult, 'fleet' | 'repeat'>> {
	const prefixSummary = summaries.get('prefix')!;
	const readP99 = (name: string) => summaries.get(name)!.firstToken.p99;
	const baselines = [...summaries.keys()].filter(name => name !== 'prefix');
	const bestBaselineP99 = Math.min(...baselines.map(name => readP99(name)));
	const consistentHashHitRate = summaries.get('consistentHash')!.hitRate;
	return [
		{goal: 'hit rate at least 0.9 of the all-knowing placement', measured: (prefixSummary.hitRate / oracleHitRate).toFixed(3), isMet: prefixSummary.hitRate >= 0.9 * oracleHitRate},
		{goal: 'hit rate above plain consistent hashing', measured: `${prefixSummary.hitRate.toFixed(3)} against ${consistentHashHitRate.toFixed(3)}`, isMet: prefixSummary.hitRate > consistentHashHitRate},
		{
			goal: 'p99 to first token at most half of round robin\'s',
			measured: `${prefixSummary.firstToken.p99} ms against ${readP99('roundRobin')} ms`, isMet: prefixSummary.firstToken.p99 <= readP99('roundRobin') / 2,
		},
		{goal: 'p99 to first token below every baseline\'s', measured: `${prefixSummary.firstToken.p99} ms against ${bestBaselineP99} ms`, isMet: prefixSummary.firstToken.p99 < bestBaselineP99},
		{goal: 'worst organisation\'s p99 within 1.5 times the median one\'s while another floods', measured: prefixSummary.worstToMedian.toFixed(2), isMet: prefixSummary.worstToMedian <= 1.5},
		{goal: 'wrongful refusals under 0.1%', measured: `${(prefixSummary.wrongfulRefusals * 100).toFixed(2)}%`, isMet: prefixSummary.wrongfulRefusals < 0.001},
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
		requestsPerEngine: option({type: number, long: 'requests-per-engine', defaultValue: () => defaultRequestsPerEngine}),
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
