import {describe, test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {
	createBlocks, createEngineMonitor, createEngineState, fixtureModel,
} from '../../fixtures/create-engine-monitor/index.js';
import type {OrganisationId} from '../../identity/ids/index.js';
import {LeastLoadedPlacement} from '../../placement/least-loaded-placement/index.js';
import type {RouterError} from '../../results/create-router-error/index.js';
import type {EngineMonitor} from '../../targets/engine-monitor/index.js';
import {EngineGate, type EngineDemand} from './index.js';

function createGate(clock: ManualClock): EngineGate {
	return new EngineGate({
		clock, placement: new LeastLoadedPlacement(20), prefillTokensPerMs: 20, engineBacklogMs: 250, queueWaitMs: 1000, queuedRequests: 10,
		countInstances: () => 1,
	});
}

function createDemand(engines: readonly EngineMonitor[], signal = new AbortController().signal): EngineDemand {
	return {
		model: fixtureModel, organisation: 'travel' as OrganisationId, weight: 1, blocks: createBlocks('catalogue'), promptTokens: 12_288,
		maximumTokens: 10, excluded: new Set(), signal, listCandidates: () => engines, hasUnpolledEngines: () => false,
	};
}

async function readError(promise: Promise<unknown>): Promise<RouterError> {
	try {
		await promise;
	} catch (error) {
		return error as RouterError;
	}

	throw new Error('the call succeeded');
}

describe('EngineGate', () => {
	test('guards against more prefill work at an engine than its limit', async () => {
		const clock = new ManualClock();
		const gate = createGate(clock);
		const engines = [createEngineMonitor(0)];
		// The prefill of 12,288 tokens takes 614 ms, so the second request must wait for the first chunk of the first one.
		const first = await gate.acquire(createDemand(engines));
		let isStarted = false;
		const second = (async () => {
			const slot = await gate.acquire(createDemand(engines));
			isStarted = true;
			return slot;
		})();
		await clock.advance(50);
		expect(isStarted).toEqual(false);
		first.recordFirstChunk();
		const slot = await second;
		expect(slot.engine.target.id).toEqual(engines[0]!.target.id);
	});

	test('guards against a disconnected caller that keeps its place in the queue', async () => {
		const clock = new ManualClock();
		const gate = createGate(clock);
		const engines = [createEngineMonitor(0, {pendingPrefillTokens: 1_000_000})];
		const controller = new AbortController();
		const refused = readError(gate.acquire(createDemand(engines, controller.signal)));
		const waiting = readError(gate.acquire(createDemand(engines)));
		controller.abort();
		const disconnected = await refused;
		expect(disconnected.entry.notRun).toEqual(true);
		await clock.advance(1100);
		const expired = await waiting;
		expect(expired.entry.name).toEqual('overloaded');
	});

	test('guards against a request that expects another incarnation than the one it was placed on, after a restart of the engine', async () => {
		const clock = new ManualClock();
		const gate = createGate(clock);
		const engine = createEngineMonitor(0);
		const first = await gate.acquire(createDemand([engine]));
		const second = gate.acquire(createDemand([engine]));
		first.recordFirstChunk();
		// The gate learns of the engine's restart after the choice and before the request is sent.
		engine.applyState(createEngineState('life-1'), clock.readMonotonic());
		const slot = await second;
		expect(slot.incarnation as string | undefined).toEqual('life-0');
	});

	test('guards against a refusal when the only candidate has failed the request before', async () => {
		const engine = createEngineMonitor(0);
		const slot = await createGate(new ManualClock()).acquire({...createDemand([engine]), excluded: new Set([engine.target.id])});
		expect(slot.engine.target.id).toEqual(engine.target.id);
	});

	test('guards against refusals just after the start, when no engine has been polled yet', async () => {
		const clock = new ManualClock();
		const engines: EngineMonitor[] = [];
		const slot = createGate(clock).acquire({...createDemand(engines), hasUnpolledEngines: () => engines.length === 0});
		await clock.advance(100);
		engines.push(createEngineMonitor(0));
		await clock.advance(100);
		const {engine} = await slot;
		expect(engine.target.id).toEqual(engines[0]!.target.id);
	});

	test('guards against a request that waits although it has no candidate', async () => {
		const error = await readError(createGate(new ManualClock()).acquire(createDemand([])));
		expect(error.entry.name).toEqual('noTarget');
	});
});
