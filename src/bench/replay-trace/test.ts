import {describe, test} from 'node:test';
import {expect} from 'earl';
import {placementStrategies, type PlacementStrategy} from '../../placement/create-placement/index.js';
import {calculateOracleHitRate} from '../calculate-oracle-hit-rate/index.js';
import {generateTrace} from '../generate-trace/index.js';
import {replayTrace, type ReplayOptions} from './index.js';

const cacheBlocks = 120;

function createTrace(seed: number) {
	return generateTrace({
		seed, durationMs: 20_000, requestsPerSecond: 48, flooder: 3, floodFactor: 5,
	});
}

function createOptions(strategy: PlacementStrategy): ReplayOptions {
	return {
		strategy, engines: 6, routers: 3, cacheBlocks, prefillTokensPerMs: 100, hashedPieces: 4, reportIntervalMs: 250, eventLagMs: 100, seed: 7,
	};
}

function calculatePercentile(values: readonly number[], fraction: number): number {
	return values.toSorted((a, b) => a - b)[Math.floor(fraction * (values.length - 1))]!;
}

describe('replayTrace', () => {
	for (const seed of [1, 2]) {
		test(`guards against a prefix placement with a hit rate below 0.9 of the oracle's or a tail latency above the baselines', seed ${seed}`, () => {
			const trace = createTrace(seed);
			const outcomes = Object.fromEntries(placementStrategies.map(strategy => [strategy, replayTrace(trace, createOptions(strategy))]));
			const readP99 = (strategy: PlacementStrategy) => calculatePercentile(outcomes[strategy]!.firstTokenMs, 0.99);
			expect(outcomes.prefix!.hitRate).toBeGreaterThan(0.9 * calculateOracleHitRate(trace, {engines: 6, cacheBlocks, measuredFromMs: 0}));
			expect(readP99('prefix')).toBeLessThan(readP99('roundRobin') / 2);
			expect(readP99('prefix')).toBeLessThan(readP99('leastLoaded'));
			expect(readP99('prefix')).toBeLessThan(readP99('consistentHash'));
		});
	}

	test('guards against an outcome that depends on more than the seed', () => {
		const trace = createTrace(1);
		expect(replayTrace(trace, createOptions('prefix')).engines).toEqual(replayTrace(trace, createOptions('prefix')).engines);
	});
});
