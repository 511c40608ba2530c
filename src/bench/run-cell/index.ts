/** Runs one cell of the benchmark: one strategy on one fleet with one trace. */

import {setTimeout as delay} from 'node:timers/promises';
import {fetchJson} from '../../http/fetch-json/index.js';
import type {EngineTotals} from '../../standin/engine-simulator/index.js';
import {driveTrace} from '../drive-trace/index.js';
import {calculateWarmUpMs, type TraceOptions, type TraceRequest} from '../generate-trace/index.js';
import {startFleet, type FleetOptions} from '../start-fleet/index.js';
import {summariseCell, type CellSummary} from '../summarise-cell/index.js';

/** Runs `trace` against a new fleet. */
export async function runCell(trace: readonly TraceRequest[], traceOptions: TraceOptions, fleetOptions: FleetOptions): Promise<CellSummary> {
	const fleet = await startFleet(fleetOptions);
	try {
		const totalsAfterWarmUp = readTotalsAfter(calculateWarmUpMs(traceOptions), fleet.engines);
		const outcomes = await driveTrace(trace, fleet.entries);
		const before = await totalsAfterWarmUp;
		const after = await readTotals(fleet.engines);
		return summariseCell(trace, outcomes, {
			requests: after.requests - before.requests,
			promptTokens: after.promptTokens - before.promptTokens,
			cachedTokens: after.cachedTokens - before.cachedTokens,
			generatedTokens: after.generatedTokens - before.generatedTokens,
			peakWaiting: after.peakWaiting,
		}, traceOptions);
	} finally {
		await fleet.stop();
	}
}

async function readTotalsAfter(pauseMs: number, engines: readonly string[]): Promise<EngineTotals> {
	await delay(pauseMs);
	return readTotals(engines);
}

async function readTotals(engines: readonly string[]): Promise<EngineTotals> {
	const totalsByEngine = await Promise.all(engines.map(async engine => fetchJson<EngineTotals>(`http://${engine}/totals`, {timeoutMs: 5000})));
	const total: EngineTotals = {
		requests: 0, promptTokens: 0, cachedTokens: 0, generatedTokens: 0, peakWaiting: 0,
	};
	for (const engineTotals of totalsByEngine) {
		total.requests += engineTotals.requests;
		total.promptTokens += engineTotals.promptTokens;
		total.cachedTokens += engineTotals.cachedTokens;
		total.generatedTokens += engineTotals.generatedTokens;
		total.peakWaiting = Math.max(total.peakWaiting, engineTotals.peakWaiting);
	}

	return total;
}
