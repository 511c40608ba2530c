/** Turns the outcomes of a cell into the figures of the report. */

import {build} from 'hdr-histogram-js';
import type {EngineTotals} from '../../standin/engine-simulator/index.js';
import type {CallOutcome} from '../drive-trace/index.js';
import {
	calculateFloodWindow, calculateWarmUp, countPromptTokens, traceOrganisations, type TraceOptions, type TraceRequest,
} from '../generate-trace/index.js';
import {budget} from '../start-fleet/index.js';

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
	/** Only requests that arrived while the flooder sent its multiple. */
	readonly firstTokenInFlood: Percentiles;
};

/** Figures of one cell. */
export type CellSummary = {
	readonly hitRate: number;
	readonly promptTokens: number;
	readonly recomputedTokens: number;
	/** Longest waiting list at any engine. */
	readonly peakEngineQueue: number;
	readonly requests: number;
	readonly incomplete: number;
	readonly firstToken: Percentiles;
	readonly organisations: readonly OrganisationSummary[];
	/** Refused share of the requests of organisations that did not flood. */
	readonly wrongfulRefusals: number;
	readonly flooderRefusals: number;
	/** Highest p99 of an organisation that did not flood over the median of their p99, while another floods. */
	readonly worstToMedian: number;
	/** Highest tokens admitted over burst + rate x time, of any organisation. */
	readonly tokenBound: number;
};

const highestMs = 120_000;
const msPerSecond = 1000;

/** Summarises one cell. `totals` are the engines' differences over the measured part of the run. */
export function summariseCell(trace: readonly TraceRequest[], outcomes: readonly CallOutcome[], totals: EngineTotals, options: TraceOptions): CellSummary {
	const measuredFromMs = calculateWarmUp(options);
	const pairs = trace.map((request, index) => ({request, outcome: outcomes[index]!})).filter(({request}) => request.atMs >= measuredFromMs);
	const served = pairs.filter(({outcome}) => outcome.isComplete);
	const servedTokens = countTokens(served);
	const window = calculateFloodWindow(options);
	const organisations = traceOrganisations.map(({name}, index): OrganisationSummary => {
		const own = pairs.filter(({request}) => request.organisation === name);
		return {
			name,
			isFlooder: index === options.flooder,
			requests: own.length,
			servedShare: countTokens(own.filter(({outcome}) => outcome.isComplete)) / servedTokens,
			refused: own.filter(({outcome}) => outcome.refusal !== undefined).length,
			firstToken: measurePercentiles(own),
			firstTokenInFlood: measurePercentiles(own.filter(({request}) => request.atMs >= window.beginMs && request.atMs < window.endMs)),
		};
	});
	const others = organisations.filter(organisation => !organisation.isFlooder);
	const tails = others.map(organisation => organisation.firstTokenInFlood.p99).toSorted((a, b) => a - b);
	return {
		hitRate: totals.cachedTokens / totals.promptTokens,
		promptTokens: totals.promptTokens,
		recomputedTokens: totals.promptTokens - totals.cachedTokens,
		peakEngineQueue: totals.peakWaiting,
		requests: pairs.length,
		incomplete: pairs.filter(({outcome}) => !outcome.isComplete && outcome.refusal === undefined).length,
		firstToken: measurePercentiles(pairs),
		organisations,
		wrongfulRefusals: sum(others.map(organisation => organisation.refused)) / sum(others.map(organisation => organisation.requests)),
		flooderRefusals: organisations[options.flooder]!.refused / organisations[options.flooder]!.requests,
		worstToMedian: tails.at(-1)! / calculateMedian(tails),
		tokenBound: calculateTokenBound(served, options.durationMs),
	};
}

type Pair = {readonly request: TraceRequest; readonly outcome: CallOutcome};

function measurePercentiles(pairs: readonly Pair[]): Percentiles {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: highestMs, numberOfSignificantValueDigits: 3});
	for (const {outcome} of pairs) {
		if (outcome.firstTokenMs !== undefined) {
			histogram.recordValue(Math.max(1, Math.min(highestMs, Math.round(outcome.firstTokenMs))));
		}
	}

	return {
		count: histogram.totalCount,
		p50: histogram.getValueAtPercentile(50),
		p95: histogram.getValueAtPercentile(95),
		p99: histogram.getValueAtPercentile(99),
	};
}

function calculateTokenBound(served: readonly Pair[], durationMs: number): number {
	const allowed = budget.burstTokens + (budget.tokensPerSecond * durationMs / msPerSecond);
	return Math.max(...traceOrganisations.map(({name}) => countTokens(served.filter(({request}) => request.organisation === name)) / allowed));
}

function countTokens(pairs: readonly Pair[]): number {
	return sum(pairs.map(({request}) => countPromptTokens(request) + request.maximumTokens));
}

function calculateMedian(sorted: readonly number[]): number {
	const middle = (sorted.length - 1) / 2;
	return (sorted[Math.floor(middle)]! + sorted[Math.ceil(middle)]!) / 2;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}
