import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createBlocks, createEngineMonitor as createEngine, createQuery} from '../../fixtures/create-engine-monitor/index.js';
import type {BlockKey, MonotonicMs} from '../../identity/ids/index.js';
import type {EngineMonitor} from '../../targets/engine-monitor/index.js';
import {formatQueryScope} from '../placement/index.js';
import {PrefixPlacement} from './index.js';

function createPlacement(seed = 0): PrefixPlacement {
	let state = seed;
	const random = () => {
		state = ((state * 16_807) + 11) % 2_147_483_647;
		return state / 2_147_483_647;
	};

	return new PrefixPlacement({
		prefillTokensPerMs: 20, dataCentre: 'a', distanceMs: 1, random,
	});
}

type Timing = {readonly startMs: number; readonly count: number; readonly intervalMs: number; readonly isServedImmediately?: boolean};

/** Sends `count` requests for `blocks`, one each `intervalMs`, and returns how often each engine was chosen. */
function sendRequests(placement: PrefixPlacement, engines: readonly EngineMonitor[], blocks: readonly BlockKey[], timing: Timing): Map<string, number> {
	const counts = new Map<string, number>();
	for (let index = 0; index < timing.count; index += 1) {
		const now = timing.startMs + (index * timing.intervalMs) as MonotonicMs;
		const query = createQuery(blocks, engines);
		const engine = placement.choose(query, now)!;
		engine.recordSent(blocks, formatQueryScope(query), now);
		placement.recordSent(query, engine, now);
		const request = engine.beginRequest(100, now);
		if (timing.isServedImmediately) {
			request.recordFirstChunk(now);
			request.recordEnd(now);
		}

		counts.set(engine.target.id, (counts.get(engine.target.id) ?? 0) + 1);
	}

	return counts;
}

describe('PrefixPlacement', () => {
	test('guards against a request that bypasses the engine with its prefix in the cache', () => {
		const blocks = createBlocks('catalogue');
		const engines = [createEngine(0), createEngine(1), createEngine(2, {held: blocks, running: 2, pendingPrefillTokens: 400})];
		expect(createPlacement().choose(createQuery(blocks, engines), 1 as MonotonicMs)!.target.id as string).toEqual('worker-2');
	});

	test('guards against waiting longer for a cached prefix than computing it takes', () => {
		const blocks = createBlocks('catalogue');
		const engines = [createEngine(0), createEngine(1, {held: blocks, running: 16, pendingPrefillTokens: 100_000})];
		expect(createPlacement().choose(createQuery(blocks, engines), 1 as MonotonicMs)!.target.id as string).toEqual('worker-0');
	});

	test('guards against instances without shared state that place the same unknown prefix on different engines', () => {
		const choices = [1, 2, 3].map(seed => createPlacement(seed).choose(createQuery(createBlocks('new'), [0, 1, 2, 3, 4, 5].map(index => createEngine(index))), 1 as MonotonicMs)!.target.id as string);
		expect(new Set(choices).size).toEqual(1);
	});

	test('guards against herding: instances that see the same outdated load report all choose the same engine', () => {
		const counts = new Map<string, number>();
		for (let seed = 1; seed <= 30; seed += 1) {
			const engines = Array.from({length: 6}, (_, index) => createEngine(index, {held: createBlocks('hot'), running: 8}));
			const placement = createPlacement(seed);
			sendRequests(placement, engines, createBlocks('hot'), {startMs: 1, count: 20, intervalMs: 1});
			const {id} = placement.choose(createQuery(createBlocks('hot'), engines), 25 as MonotonicMs)!.target;
			counts.set(id, (counts.get(id) ?? 0) + 1);
		}

		expect(Math.max(...counts.values())).toBeLessThan(20);
	});

	test('guards against a popular prefix that stays on one engine, and one that stays spread after it has lost popularity', () => {
		const placement = createPlacement();
		const engines = Array.from({length: 6}, (_, index) => createEngine(index, {running: 12}));
		const hot = sendRequests(placement, engines, createBlocks('hot'), {startMs: 0, count: 60, intervalMs: 5});
		expect(hot.size).toBeGreaterThan(2);
		const idle = Array.from({length: 6}, (_, index) => createEngine(index, {held: createBlocks('hot')}));
		for (let index = 0; index < 600; index += 1) {
			placement.recordSent(createQuery(createBlocks(`other-${index}`), idle), idle[0]!, (300 + (index * 50)) as MonotonicMs);
		}

		const cold = sendRequests(placement, idle, createBlocks('hot'), {
			startMs: 31_000, count: 5, intervalMs: 200, isServedImmediately: true,
		});
		expect(cold.size).toEqual(1);
	});

	test('guards against a joining or leaving engine that moves more prefixes than its share', () => {
		const engines = Array.from({length: 8}, (_, index) => createEngine(index));
		const locate = (list: readonly EngineMonitor[]) => Array.from({length: 400}, (_, index) => createPlacement().choose(createQuery(createBlocks(`prefix-${index}`), list), 1 as MonotonicMs)!.target.id as string);
		const [before, after] = [locate(engines), locate(engines.slice(1))];
		const moved = before.filter((id, index) => id !== after[index]);
		expect(moved.every(id => id === 'worker-0')).toEqual(true);
		expect(moved.length).toBeLessThan(400 / 8 * 1.6);
	});

	test('guards against a choice in another data centre that saves no time', () => {
		const blocks = createBlocks('catalogue');
		const engines = [createEngine(0, {held: blocks, dataCentre: 'b'}), createEngine(1, {held: blocks})];
		expect(createPlacement().choose(createQuery(blocks, engines), 1 as MonotonicMs)!.target.dataCentre as string).toEqual('a');
		const farEngines = [createEngine(0, {held: blocks, dataCentre: 'b'}), createEngine(1)];
		expect(createPlacement().choose(createQuery(blocks, farEngines), 1 as MonotonicMs)!.target.dataCentre as string).toEqual('b');
	});
});
