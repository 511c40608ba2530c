import {describe, test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {Configuration, type ResolvedModel, type ResolvedTarget} from '../../configuration/configuration/index.js';
import type {
	DataCentreId, Incarnation, ModelId, Revision, TargetId,
} from '../../identity/ids/index.js';
import {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import {Lease} from '../../leases/lease/index.js';
import {createLogger} from '../../logging/create-logger/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {ObjectApiError, type ObjectApi} from '../../store/object-api/index.js';
import type {EngineModelState, EngineOrder, EngineState} from '../../targets/engine-client/index.js';
import {
	TargetController, controllerLeaseMs, controllerLeaseName, orderTtlMs, type OrderedEngine,
} from './index.js';

const loadMs = 800;
const modelId = 'm' as ModelId;

/** An engine that takes orders; odd ones ignore the fencing number. */
class FakeEngine implements OrderedEngine {
	models: EngineModelState[] = [{base: 'base', weightsVersion: 'v0', state: 'ready'}];
	highestFencing = 0;

	constructor(private readonly fleet: FakeFleet, readonly checksFencing: boolean) {}

	async readState(): Promise<EngineState> {
		await this.fleet.clock.sleep(this.fleet.stateDelayMs);
		return {
			incarnation: 'i' as Incarnation, role: 'mixed', isLeaving: false, models: this.models,
			load: {
				running: 0, waiting: 0, slots: 1, pendingPrefillTokens: 0, ageMs: 0,
			},
		};
	}

	async sendOrder(order: EngineOrder): Promise<'accepted' | 'staleFencing'> {
		this.fleet.sent.push({fencing: order.fencing, at: this.fleet.clock.readMonotonic()});
		await this.fleet.held;
		if (this.checksFencing && order.fencing < this.highestFencing) {
			return 'staleFencing';
		}

		this.highestFencing = Math.max(this.highestFencing, order.fencing);
		void this.load(order.weightsVersion!);
		return 'accepted';
	}

	private async load(weightsVersion: string): Promise<void> {
		const loading: EngineModelState = {base: 'base', weightsVersion, state: 'loading'};
		this.models = [loading];
		this.fleet.noteLoads();
		await this.fleet.clock.sleep(loadMs);
		if (this.models[0] === loading) {
			this.models = [{...loading, state: 'ready'}];
		}
	}
}

/** One instance: its own path to the store and its own view of the configuration. */
class Holder {
	isCut = false;
	delayMs = 0;
	version = 'v1';
	readonly invariants = new InvariantChecker({isStrict: true});
	readonly controller: TargetController;

	constructor(private readonly fleet: FakeFleet, readonly id: string) {
		const {clock} = fleet;
		const callStore = async (call: () => Promise<unknown>) => this.callStore(call);
		const objectApi = new Proxy(fleet.api, {
			get: (api, name: keyof ObjectApi) => async (...parameters: unknown[]) => callStore(async () => {
				const method = api[name] as (...all: unknown[]) => unknown;
				return method.apply(api, parameters);
			}),
		});
		this.controller = new TargetController({
			clock, logger: createLogger({}, true), invariants: this.invariants,
			lease: new Lease({
				objectApi, clock, name: controllerLeaseName, holder: id, incarnation: id as Incarnation,
				durationMs: controllerLeaseMs, maximumReadGapMs: controllerLeaseMs,
			}),
			readConfiguration: () => createConfiguration(fleet.engines, this.version),
			findEngine: target => fleet.engines[Number(target.id)],
			isContender: () => true,
		});
		void this.controller.run();
	}

	private async callStore(call: () => Promise<unknown>): Promise<unknown> {
		await this.fleet.clock.sleep(this.delayMs);
		if (this.isCut) {
			throw new ObjectApiError('unavailable', 'cut');
		}

		return call();
	}
}

class FakeFleet {
	readonly clock = new ManualClock(1000);
	readonly api = new MemoryObjectApi();
	readonly engines: FakeEngine[];
	readonly sent: Array<{fencing: number; at: number}> = [];
	/** Orders wait for this on their way to the engine. */
	held: Promise<void> | undefined;
	maximumLoads = 0;
	/** Time that engines take to report their state. */
	stateDelayMs = 0;
	private readonly holders: Holder[] = [];

	constructor(engineCount = 6) {
		this.engines = Array.from({length: engineCount}, (_, index) => new FakeEngine(this, index % 2 === 0));
	}

	start(id: string): Holder {
		const holder = new Holder(this, id);
		this.holders.push(holder);
		return holder;
	}

	stop(): void {
		for (const {controller, invariants} of this.holders) {
			controller.stop();
			expect([...invariants.violations.keys()]).toEqual([]);
		}
	}

	noteLoads(): void {
		const loads = this.engines.filter(engine => engine.models.some(model => model.state === 'loading')).length;
		this.maximumLoads = Math.max(this.maximumLoads, loads);
	}

	listReady(): string[] {
		return this.engines.map(engine => engine.models.map(model => `${model.weightsVersion} ${model.state}`).join(','));
	}

	/** Advances step by step; returns the lowest number of engines that were ready. */
	async run(ms: number): Promise<number> {
		let lowest = this.engines.length;
		for (let passed = 0; passed < ms; passed += 100) {
			await this.clock.advance(100);
			lowest = Math.min(lowest, this.engines.filter(engine => engine.models[0]?.state === 'ready').length);
		}

		return lowest;
	}
}

function createConfiguration(engines: readonly FakeEngine[], weightsVersion: string): Configuration {
	const model: ResolvedModel = {
		id: modelId, name: 'm', fleets: [], base: 'base', weightsVersion, deterministic: false,
	};
	const targets = engines.map((engine, index): ResolvedTarget => ({
		id: String(index) as TargetId, fleet: 'north' as ResolvedTarget['fleet'], dataCentre: 'dc' as DataCentreId,
		type: 'engine', address: '127.0.0.1:1', models: [modelId], checksFencing: engine.checksFencing, role: 'mixed', state: 'live',
	}));
	return new Configuration(1 as Revision, {
		organisations: [], keys: [], models: [model], routes: [], targets,
	});
}

const allReady = (version: string) => Array.from({length: 6}, () => `${version} ready`);

describe('TargetController', () => {
	test('guards against a rolling change that takes two of three engines away', async () => {
		const fleet = new FakeFleet(3);
		fleet.start('a');
		const lowest = await fleet.run(12_000);
		expect({lowest, ready: fleet.listReady()}).toEqual({lowest: 2, ready: ['v1 ready', 'v1 ready', 'v1 ready']});
		fleet.stop();
	});

	test('guards against orders after the lease has ended in the middle of a round', async () => {
		const fleet = new FakeFleet();
		const holder = fleet.start('a');
		await fleet.run(1000);
		fleet.stateDelayMs = controllerLeaseMs + 4000;
		await fleet.run(2000);
		holder.isCut = true;
		await fleet.run(30_000);
		expect(fleet.sent).toEqual([]);
		fleet.stop();
	});

	test('guards against a rolling change that loads on more than two engines or leaves too few serving', async () => {
		const fleet = new FakeFleet();
		const holder = fleet.start('a');
		const lowest = await fleet.run(12_000);
		expect(fleet.listReady()).toEqual(allReady('v1'));
		holder.version = 'v2';
		const lowestAgain = await fleet.run(12_000);
		expect(fleet.listReady()).toEqual(allReady('v2'));
		expect({maximumLoads: fleet.maximumLoads, lowest: Math.min(lowest, lowestAgain)}).toEqual({maximumLoads: 2, lowest: 4});
		fleet.stop();
	});

	test('guards against a former holder that wakes in the middle of an order after its lease has ended', async () => {
		const fleet = new FakeFleet();
		const former = fleet.start('a');
		let deliver: (() => void) | undefined;
		fleet.held = new Promise(resolve => {
			deliver = resolve;
		});
		await fleet.run(4000);
		expect(fleet.sent.map(order => order.fencing)).toEqual([1]);
		former.isCut = true;
		fleet.held = undefined;
		const successor = fleet.start('b');
		successor.version = 'v2';
		await fleet.run(40_000);
		expect(fleet.listReady()).toEqual(allReady('v2'));
		const sentBefore = fleet.sent.length;
		deliver!();
		await fleet.run(10_000);
		expect(fleet.listReady()).toEqual(allReady('v2'));
		expect(fleet.sent.slice(sentBefore).every(order => order.fencing === 2)).toEqual(true);
		fleet.stop();
	});

	test('guards against an engine that ignores fencing and keeps what a delayed order loaded', async () => {
		const fleet = new FakeFleet();
		fleet.start('a');
		await fleet.run(12_000);
		for (const engine of fleet.engines) {
			await engine.sendOrder({
				order: 'loadWeights', base: 'base', weightsVersion: 'old', fencing: 0 as EngineOrder['fencing'],
				ttlMs: orderTtlMs, sentAt: fleet.clock.readWall(),
			});
		}

		expect(fleet.engines.filter(engine => engine.models[0]!.weightsVersion === 'old').length).toEqual(3);
		await fleet.run(12_000);
		expect(fleet.listReady()).toEqual(allReady('v1'));
		fleet.stop();
	});

	test('guards against orders of two holders at once while lease writes lose their answers and the store is down or slow', async () => {
		const fleet = new FakeFleet();
		const holders = ['a', 'b', 'c'].map(id => fleet.start(id));
		for (let turn = 0; turn < 6; turn += 1) {
			fleet.api.faults.lostAnswers = turn % 3;
			holders[turn % 3]!.isCut = true;
			holders[(turn + 1) % 3]!.delayMs = turn % 2 === 0 ? 3000 : 0;
			for (const holder of holders) {
				holder.version = `v${turn}`;
			}

			await fleet.run(15_000);
			fleet.api.setDown(turn === 3);
			await fleet.run(15_000);
			fleet.api.setDown(false);
			holders[turn % 3]!.isCut = false;
		}

		fleet.api.faults.lostAnswers = 0;
		await fleet.run(40_000);
		expect(fleet.listReady()).toEqual(allReady('v5'));
		const fencings = fleet.sent.map(order => order.fencing);
		expect(fencings).toEqual(fencings.toSorted((a, b) => a - b));
		expect(new Set(fencings).size).toBeGreaterThan(1);
		expect(fleet.maximumLoads).toEqual(2);
		fleet.stop();
	});

	test('guards against orders without a lease while the store is down, and against a new holder that does not wait', async () => {
		const fleet = new FakeFleet();
		const holder = fleet.start('a');
		await fleet.run(orderTtlMs);
		expect(fleet.sent).toEqual([]);
		await fleet.run(10_000);
		fleet.api.setDown(true);
		await fleet.run(controllerLeaseMs);
		holder.version = 'v2';
		const sentBefore = fleet.sent.length;
		await fleet.run(20_000);
		expect(fleet.sent.length).toEqual(sentBefore);
		fleet.api.setDown(false);
		await fleet.run(20_000);
		expect(fleet.listReady()).toEqual(allReady('v2'));
		fleet.stop();
	});
});
