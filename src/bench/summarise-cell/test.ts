import {describe, test} from 'node:test';
import {expect} from 'earl';
import type {CallOutcome} from '../drive-trace/index.js';
import {calculateWarmUpMs, generateTrace} from '../generate-trace/index.js';
import {summariseCell} from './index.js';

const options = {
	seed: 3, durationMs: 40_000, requestsPerSecond: 50, flooder: 3, floodFactor: 5,
};
const totals = {
	requests: 1, promptTokens: 1000, cachedTokens: 750, generatedTokens: 1, peakWaiting: 0,
};

function createOutcome(changes: Partial<CallOutcome> = {}): CallOutcome {
	return {
		firstTokenMs: 100, status: 200, isComplete: true, refusal: undefined, ...changes,
	};
}

describe('summariseCell', () => {
	test('guards against counting refusals of a flooder as wrongful, and against not counting lost requests', () => {
		const trace = generateTrace(options);
		const outcomes = trace.map((request, index) => {
			const isFlooder = request.organisation === 'press';
			const isLost = index === trace.length - 1 && !isFlooder;
			return isFlooder || isLost
				? createOutcome({firstTokenMs: undefined, isComplete: false, refusal: isFlooder ? 'overloaded' : undefined})
				: createOutcome({firstTokenMs: request.organisation === 'anvil' ? 300 : 100});
		});
		const summary = summariseCell(trace, outcomes, totals, options);
		expect([summary.wrongfulRefusals, summary.flooderRefusals, summary.hitRate]).toEqual([0, 1, 0.75]);
		expect(summary.incomplete).toEqual(trace.at(-1)!.organisation === 'press' ? 0 : 1);
		expect(summary.worstToMedian).toEqual(3);
		expect(summary.requests).toEqual(trace.filter(request => request.atMs >= calculateWarmUpMs(options)).length);
	});
});
