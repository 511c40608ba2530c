/** Summarises the request outcomes of a cell for the report. */

import {build} from 'hdr-histogram-js';
import type {EngineTotals} from '../../standin/engine-simulator/index.js';
import type {CallOutcome} from '../drive-trace/index.js';
import {
	calculateFloodWindow, calculateWarmUpMs, countPromptTokens, traceOrganisations, type TraceOptions, type TraceRequest,
} from '../generate-trace/index.js';
import {organisationBudget} from '../start-fleet/index.js';

/** Percentiles of the time to first token, in milliseconds. */
export type Percentiles = {readonly count: number; readonly p50: number; readonly p95: number; readonly p99: number};

/** Figures of one organisation. */
export type OrganisationSummary = {
	readonly name: string;
	readonly isFlooder: boolean;
	readonly requests: number;
	/** Share of all prompt tokens that were served. */
	readonly servedShare: number;
	readonly refused: number;
	readonly firstToken: Percentiles;
	/** Only requests that arrived during the flood. */
	readonly firstTokenInFlood: Percentiles;
};

/** Figures of one cell. */
export type CellSummary = {
	readonly hitRate: number;
	readonly promptTokens: number;
	readonly recomputedTokens: number;
	/** Longest queue at any engine. */
	readonly peakEngineQueue: number;
	readonly requests: number;
	readonly incomplete: number;
	readonly firstToken: Percentiles;
	readonly organisations: readonly OrganisationSummary[];
	/** Refused share of the requests of organisations that did not flood. */
	readonly wrongfulRefusals: number;
	readonly flooderRefusals: number;
	/** Highest p99 during the flood among organisations that did not flood, divided by the median of their p99s. */
	readonly worstToMedian: number;
	/** Highest ratio of an organisation's admitted tokens to its allowed tokens, burst + rate x time. */
	readonly tokenBound: number;
};

const maximumTrackedMs = 120_000;
const msPerSecond = 1000;

/** Summarises one cell. `totals` are the increases of the engines' totals over the measured part of the run. */
export function summariseCell(trace: readonly TraceRequest[], outcomes: readonly CallOutcome[], totals: EngineTotals, options: TraceOptions): CellSummary {
	const measuredFromMs = calculateWarmUpMs(options);
	const requestOutcomes = trace.map((request, index) => ({request, outcome: outcomes[index]!})).filter(({request}) => request.atMs >= measuredFromMs);
	const served = requestOutcomes.filter(({outcome}) => outcome.isComplete);
	const servedTokens = countTokens(served);
	const floodWindow = calculateFloodWindow(options);
	const organisations = traceOrganisations.map(({name}, index): OrganisationSummary => {
		const ownOutcomes = requestOutcomes.filter(({request}) => request.organisation === name);
		return {
			name,
			isFlooder: index === options.flooder,
			requests: ownOutcomes.length,
			servedShare: countTokens(ownOutcomes.filter(({outcome}) => outcome.isComplete)) / servedTokens,
			refused: ownOutcomes.filter(({outcome}) => outcome.refusal !== undefined).length,
			firstToken: calculatePercentiles(ownOutcomes),
			firstTokenInFlood: calculatePercentiles(ownOutcomes.filter(({request}) => request.atMs >= floodWindow.beginMs && request.atMs < floodWindow.endMs)),
		};
	});
	const nonFlooders = organisations.filter(organisation => !organisation.isFlooder);
	const sortedFloodP99s = nonFlooders.map(organisation => organisation.firstTokenInFlood.p99).toSorted((a, b) => a - b);
	return {
		hitRate: totals.cachedTokens / totals.promptTokens,
		promptTokens: totals.promptTokens,
		recomputedTokens: totals.promptTokens - totals.cachedTokens,
		peakEngineQueue: totals.peakWaiting,
		requests: requestOutcomes.length,
		incomplete: requestOutcomes.filter(({outcome}) => !outcome.isComplete && outcome.refusal === undefined).length,
		firstToken: calculatePercentiles(requestOutcomes),
		organisations,
		wrongfulRefusals: sum(nonFlooders.map(organisation => organisation.refused)) / sum(nonFlooders.map(organisation => organisation.requests)),
		flooderRefusals: organisations[options.flooder]!.refused / organisations[options.flooder]!.requests,
		worstToMedian: sortedFloodP99s.at(-1)! / calculateMedian(sortedFloodP99s),
		tokenBound: calculateTokenBound(served, options.durationMs),
	};
}

type RequestOutcome = {readonly request: TraceRequest; readonly outcome: CallOutcome};

function calculatePercentiles(requestOutcomes: readonly RequestOutcome[]): Percentiles {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: maximumTrackedMs, numberOfSignificantValueDigits: 3});
	for (const {outcome} of requestOutcomes) {
		if (outcome.firstTokenMs !== undefined) {
			histogram.recordValue(Math.max(1, Math.min(maximumTrackedMs, Math.round(outcome.firstTokenMs))));
		}
	}

	return {
		count: histogram.totalCount,
		p50: histogram.getValueAtPercentile(50),
		p95: histogram.getValueAtPercentile(95),
		p99: histogram.getValueAtPercentile(99),
	};
}

function calculateTokenBound(served: readonly RequestOutcome[], durationMs: number): number {
	const allowedTokens = organisationBudget.burstTokens + (organisationBudget.tokensPerSecond * durationMs / msPerSecond);
	return Math.max(...traceOrganisations.map(({name}) => countTokens(served.filter(({request}) => request.organisation === name)) / allowedTokens));
}

function countTokens(requestOutcomes: readonly RequestOutcome[]): number {
	return sum(requestOutcomes.map(({request}) => countPromptTokens(request) + request.maximumTokens));
}

function calculateMedian(sorted: readonly number[]): number {
	const middle = (sorted.length - 1) / 2;
	return (sorted[Math.floor(middle)]! + sorted[Math.ceil(middle)]!) / 2;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
