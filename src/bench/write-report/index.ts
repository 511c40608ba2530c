/** Writes the benchmark's results as JSON and as a Markdown page with plots. */

import {mkdir, writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {drawChart} from '../draw-chart/index.js';
import type {CellSummary} from '../summarise-cell/index.js';

/** One strategy on one fleet. */
export type ReportCell = {readonly fleet: string; readonly strategy: string; readonly repeat: number; readonly summary: CellSummary};

/** One goal, the measured value and whether it is met. */
export type GoalResult = {readonly fleet: string; readonly repeat: number; readonly goal: string; readonly measured: string; readonly isMet: boolean};

/** All results of a run. */
export type BenchReport = {
	readonly startedAt: string;
	readonly mode: 'quick' | 'full';
	readonly seed: number;
	readonly conditions: readonly string[];
	/** Hit rate of the oracle placement per fleet, called all-knowing in the report. */
	readonly oracle: Readonly<Record<string, number>>;
	readonly cells: readonly ReportCell[];
	readonly goals: readonly GoalResult[];
};

/** Writes `bench-<mode>.json`, `bench-<mode>.md` and the plots to `directory`. */
export async function writeReport(report: BenchReport, directory: string): Promise<void> {
	await mkdir(directory, {recursive: true});
	const name = `bench-${report.mode}`;
	await writeFile(join(directory, `${name}.json`), `${JSON.stringify(report, undefined, '\t')}\n`);
	const plots = createPlots(report);
	await Promise.all(plots.map(async plot => writeFile(join(directory, `${name}-${plot.file}.svg`), plot.svg)));
	await writeFile(join(directory, `${name}.md`), formatPage(report, plots.map(plot => `${name}-${plot.file}.svg`)));
}

function createPlots(report: BenchReport): Array<{file: string; svg: string}> {
	const firstRunCells = report.cells.filter(cell => cell.repeat === 0);
	const fleets = [...new Set(firstRunCells.map(cell => cell.fleet))];
	const series = [...new Set(firstRunCells.map(cell => cell.strategy))];
	const findSummary = (fleet: string, strategy: string) => firstRunCells.find(cell => cell.fleet === fleet && cell.strategy === strategy)!.summary;
	const drawSummaryChart = (title: string, unit: string, read: (summary: CellSummary) => number) => drawChart({
		title, unit, series, groups: fleets.map(label => ({label, values: series.map(strategy => read(findSummary(label, strategy)))})),
	});
	const organisationPlots = fleets.map((fleet, index) => ({
		file: `organisations-${index + 1}`,
		svg: drawChart({
			title: `p99 to first token per organisation while one floods, ${fleet}`, unit: 'ms', series,
			groups: findSummary(fleet, series[0]!).organisations.map((organisation, organisationIndex) => ({
				label: organisation.isFlooder ? `${organisation.name} (floods)` : organisation.name,
				values: series.map(strategy => findSummary(fleet, strategy).organisations[organisationIndex]!.firstTokenInFlood.p99),
			})),
		}),
	}));
	return [
		{file: 'hit-rate', svg: drawSummaryChart('Prefix hit rate', 'share of prompt tokens', summary => summary.hitRate)},
		{file: 'p99', svg: drawSummaryChart('p99 time to first token', 'ms', summary => summary.firstToken.p99)},
		...organisationPlots,
	];
}

function formatPage(report: BenchReport, plots: readonly string[]): string {
	return [
		`# Benchmark, ${report.mode} run`,
		'',
		`Started ${report.startedAt}, seed ${report.seed}. Every strategy served the same trace on a fresh fleet of processes.`,
		'Round robin, least loaded and consistent hashing send without limit; `prefix` is this router\'s own placement with its fair queue.',
		'Times are from the planned arrival of a request to its first chunk, in milliseconds, as the caller sees them.',
		'',
		'## Conditions',
		'',
		...report.conditions.map(line => `- ${line}`),
		'',
		'## Goals',
		'',
		'| fleet | run | goal | measured | met |',
		'| --- | --- | --- | --- | --- |',
		...report.goals.map(goal => `| ${goal.fleet} | ${goal.repeat + 1} | ${goal.goal} | ${goal.measured} | ${goal.isMet ? 'yes' : 'no'} |`),
		'',
		'## Strategies',
		'',
		'The hit rate is the share of prompt tokens that engines found in their cache. "All-knowing" is a placement that sees every cache exactly, computed from the trace.',
		'',
		'| fleet | run | strategy | hit rate | of all-knowing | recomputed tokens | p50 | p95 | p99 | wrongful refusals | token bound |',
		'| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
		...report.cells.map(cell => formatCell(cell, report.oracle[cell.fleet]!)),
		'',
		'Wrongful refusals: refused share of the requests of organisations within their usual rate. Token bound: tokens admitted over burst + rate x time, highest of all organisations; at most 1.',
		'',
		'## Organisations',
		'',
		'Share is of all tokens served. The flood columns cover requests that arrived while one organisation sent five times its rate.',
		'',
		'| fleet | run | strategy | organisation | requests | share | refused | p50 | p99 | p50 in flood | p99 in flood |',
		'| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
		...report.cells.flatMap(cell => formatOrganisations(cell)),
		'',
		...plots.flatMap(plot => [`![${plot}](${plot})`, '']),
	].join('\n');
}

function formatCell({fleet, repeat, strategy, summary}: ReportCell, oracle: number): string {
	const {firstToken} = summary;
	const columns = [
		fleet,
		repeat + 1,
		strategy,
		summary.hitRate.toFixed(3),
		(summary.hitRate / oracle).toFixed(3),
		summary.recomputedTokens,
		firstToken.p50,
		firstToken.p95,
		firstToken.p99,
		formatPercent(summary.wrongfulRefusals),
		summary.tokenBound.toFixed(3),
	];
	return `| ${columns.join(' | ')} |`;
}

function formatOrganisations({fleet, repeat, strategy, summary}: ReportCell): string[] {
	return summary.organisations.map(organisation => {
		const columns = [
			fleet,
			repeat + 1,
			strategy,
			organisation.isFlooder ? `${organisation.name} (floods)` : organisation.name,
			organisation.requests,
			formatPercent(organisation.servedShare),
			organisation.refused,
			organisation.firstToken.p50,
			organisation.firstToken.p99,
			organisation.firstTokenInFlood.p50,
			organisation.firstTokenInFlood.p99,
		];
		return `| ${columns.join(' | ')} |`;
	});
}

function formatPercent(share: number): string {
	return `${(share * 100).toFixed(2)}%`;
}
