import {describe, test} from 'node:test';
import {expect} from 'earl';
import {hashPrompt} from '../../placement/hash-prompt/index.js';
import {
	calculateFloodWindow, createPrompt, generateTrace, type TraceRequest,
} from './index.js';

const options = {
	seed: 3, durationMs: 40_000, requestsPerSecond: 50, flooder: 3, floodFactor: 5,
};

function calculateRatePerMs(requests: readonly TraceRequest[], organisation: string, window: {beginMs: number; endMs: number}): number {
	const count = requests.filter(request => request.organisation === organisation && request.atMs >= window.beginMs && request.atMs < window.endMs).length;
	return count / (window.endMs - window.beginMs);
}

describe('generateTrace', () => {
	test('guards against a trace that is not determined by its seed', () => {
		expect(generateTrace(options)).toEqual(generateTrace(options));
		expect(generateTrace(options)[0]).not.toEqual(generateTrace({...options, seed: 4})[0]);
	});

	test('guards against a missing flood, and against a flood by other organisations', () => {
		const trace = generateTrace(options);
		const window = calculateFloodWindow(options);
		const calmWindow = {beginMs: 0, endMs: window.beginMs};
		const ratio = calculateRatePerMs(trace, 'press', window) / calculateRatePerMs(trace, 'press', calmWindow);
		expect(ratio).toBeGreaterThan(4);
		expect(ratio).toBeLessThan(6.5);
		expect(calculateRatePerMs(trace, 'lathe', window) / calculateRatePerMs(trace, 'lathe', calmWindow)).toBeLessThan(1.3);
	});

	test('guards against prompts whose common prefix differs from the shared pieces of the trace', () => {
		const [first, second] = generateTrace(options).filter(request => request.organisation === 'lathe');
		const scope = {salt: 'a', base: 'base', weightsVersion: 'v1'};
		const [firstKeys, secondKeys] = [first!, second!].map((request, index) => hashPrompt(scope, createPrompt(request, index)));
		const sharedPieceCount = first!.pieces.findIndex((piece, index) => piece !== second!.pieces[index]);
		expect(firstKeys!.length).toEqual(first!.pieces.length);
		expect(firstKeys!.findIndex((key, index) => key !== secondKeys![index])).toEqual(sharedPieceCount);
	});
});
