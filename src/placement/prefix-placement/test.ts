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

type Timing = {readonly beginMs: number; readonly count: number; readonly intervalMs: number; readonly isServedAtOnce?: boolean};

/** Sends `count` requests for `blocks` at `intervalMs` and returns how often each engine was chosen. */
function sendMany(placement: PrefixPlacement, engines: readonly EngineMonitor[], blocks: readonly BlockKey[], timing: Timing): Map<string, number> {
	const counts = new Map<string, number>();
	for (let index = 0; index < timing.count; index += 1) {
		const now = timing.beginMs + (index * timing.intervalMs) as MonotonicMs;
		const query = createQuery(blocks, engines);
		const engine = placement.choose(query, now)!;
		engine.noteSent(blocks, formatQueryScope(query), now);
		placement.noteSent(query, engine, now);
		const own = engine.beginRequest(100, now);
		if (timing.isServedAtOnce) {
			own.noteFirstChunk(now);
			own.noteEnded(now);
		}

		counts.set(engine.target.id, (counts.get(engine.target.id) ?? 0) + 1);
	}

	return counts;
}

describe('PrefixPlacement', () => {
	test('guards against a request sent past the engine that holds its prefix', () => {
		const blocks = createBlocks('catalogue');
		const engines = [createEngine(0), createEngine(1), createEngine(2, {held: blocks, running: 2, pendingPrefillTokens: 400})];
		expect(createPlacement().choose(createQuery(blocks, engines), 1 as MonotonicMs)!.target.id as string).toEqual('worker-2');
	});

	test('guards against waiting for a cached prefix longer than computing it takes', () => {
		const blocks = createBlocks('catalogue');
		const engines = [createEngine(0), createEngine(1, {held: blocks, running: 16, pendingPrefillTokens: 100_000})];
		expect(createPlacement().choose(createQuery(blocks, engines), 1 as MonotonicMs)!.target.id as string).toEqual('worker-0');
	});

	test('guards against instances that share no state and place an unknown prefix apart', () => {
		const choices = [1, 2, 3].map(seed => createPlacement(seed).choose(createQuery(createBlocks('new'), [0, 1, 2, 3, 4, 5].map(index => createEngine(index))), 1 as MonotonicMs)!.target.id as string);
		expect(new Set(choices).size).toEqual(1);
	});

	test('guards against herding of instances that see the same late report', () => {
		const counts = new Map<string, number>();
		for (let seed = 1; seed <= 30; seed += 1) {
			const engines = Array.from({length: 6}, (_, index) => createEngine(index, {held: createBlocks('hot'), running: 8}));
			const placement = createPlacement(seed);
			sendMany(placement, engines, createBlocks('hot'), {beginMs: 1, count: 20, intervalMs: 1});
			const {id} = placement.choose(createQuery(createBlocks('hot'), engines), 25 as MonotonicMs)!.target;
			counts.set(id, (counts.get(id) ?? 0) + 1);
		}

		expect(Math.max(...counts.values())).toBeLessThan(20);
	});

	test('guards against a hot prefix that stays on one engine, and against one that stays spread when it cools down', () => {
		const placement = createPlacement();
		const engines = Array.from({length: 6}, (_, index) => createEngine(index, {running: 12}));
		const hot = sendMany(placement, engines, createBlocks('hot'), {beginMs: 0, count: 60, intervalMs: 5});
		expect(hot.size).toBeGreaterThan(2);
		const idle = Array.from({length: 6}, (_, index) => createEngine(index, {held: createBlocks('hot')}));
		for (let index = 0; index < 600; index += 1) {
			placement.noteSent(createQuery(createBlocks(`other-${index}`), idle), idle[0]!, (300 + (index * 50)) as MonotonicMs);
		}

		const cold = sendMany(placement, idle, createBlocks('hot'), {
			beginMs: 31_000, count: 5, intervalMs: 200, isServedAtOnce: true,
		});
		expect(cold.size).toEqual(1);
	});

	test('guards against a join or leave that moves more prefixes than the engine\'s share', () => {
		const engines = Array.from({length: 8}, (_, index) => createEngine(index));
		const locate = (list: readonly EngineMonitor[]) => Array.from({length: 400}, (_, index) => createPlacement().choose(createQuery(createBlocks(`prefix-${index}`), list), 1 as MonotonicMs)!.target.id as string);
		const [before, after] = [locate(engines), locate(engines.slice(1))];
		const moved = before.filter((id, index) => id !== after[index]);
		expect(moved.every(id => id === 'worker-0')).toEqual(true);
		expect(moved.length).toBeLessThan(400 / 8 * 1.6);
	});

	test('guards against a longer way when nothing is gained by it', () => {
		const blocks = createBlocks('catalogue');
		const engines = [createEngine(0, {held: blocks, dataCentre: 'b'}), createEngine(1, {held: blocks})];
		expect(createPlacement().choose(createQuery(blocks, engines), 1 as MonotonicMs)!.target.dataCentre as string).toEqual('a');
		const farEngines = [createEngine(0, {held: blocks, dataCentre: 'b'}), createEngine(1)];
		expect(createPlacement().choose(createQuery(blocks, farEngines), 1 as MonotonicMs)!.target.dataCentre as string).toEqual('b');
	});
});
