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
	TargetController, controllerLeaseMs, controllerLeaseName, orderTtlMs, type ControlledEngine,
} from './index.js';

const loadMs = 800;
const modelId = 'm' as ModelId;

/** Fake engine that executes orders. */
class FakeEngine implements ControlledEngine {
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
		this.fleet.sentOrders.push({fencing: order.fencing, at: this.fleet.clock.readMonotonic()});
		await this.fleet.orderGate;
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
		this.fleet.updatePeakLoads();
		await this.fleet.clock.sleep(loadMs);
		if (this.models[0] === loading) {
			this.models = [{...loading, state: 'ready'}];
		}
	}
}

/** Fake instance with its own connection to the store and its own configuration. */
class FakeInstance {
	isDisconnected = false;
	storeDelayMs = 0;
	declaredVersion = 'v1';
	readonly invariants = new InvariantChecker({isStrict: true});
	readonly controller: TargetController;

	constructor(private readonly fleet: FakeFleet, readonly id: string) {
		const {clock} = fleet;
		const callStore = async (call: () => Promise<unknown>) => this.callStore(call);
		const objectApi = new Proxy(fleet.api, {
			get(api, name: keyof ObjectApi) {
				const method = api[name] as (...all: unknown[]) => unknown;
				// The era is known without a call.
				return name === 'readEra' ? method.bind(api) : async (...parameters: unknown[]) => callStore(async () => method.apply(api, parameters));
			},
		});
		this.controller = new TargetController({
			clock, logger: createLogger({}, true), invariants: this.invariants,
			lease: new Lease({
				objectApi, clock, name: controllerLeaseName, holder: id, incarnation: id as Incarnation,
				durationMs: controllerLeaseMs, maximumReadGapMs: controllerLeaseMs,
			}),
			readConfiguration: () => createConfiguration(fleet.engines, this.declaredVersion),
			findEngine: target => fleet.engines[Number(target.id)],
			isContender: () => true,
		});
		void this.controller.run();
	}

	private async callStore(call: () => Promise<unknown>): Promise<unknown> {
		await this.fleet.clock.sleep(this.storeDelayMs);
		if (this.isDisconnected) {
			throw new ObjectApiError('unavailable', 'the instance is disconnected from the store');
		}

		return call();
	}
}

class FakeFleet {
	readonly clock = new ManualClock(1000);
	readonly api = new MemoryObjectApi();
	readonly engines: FakeEngine[];
	readonly sentOrders: Array<{fencing: number; at: number}> = [];
	/** Delays orders on their way to the engine until it resolves. */
	orderGate: Promise<void> | undefined;
	/** Highest number of engines that loaded at the same time. */
	peakLoads = 0;
	/** Delay with which engines report their state. */
	stateDelayMs = 0;
	private readonly instances: FakeInstance[] = [];

	constructor(engineCount = 6) {
		// Engines with an odd index ignore the fencing number.
		this.engines = Array.from({length: engineCount}, (_, index) => new FakeEngine(this, index % 2 === 0));
	}

	start(id: string): FakeInstance {
		const instance = new FakeInstance(this, id);
		this.instances.push(instance);
		return instance;
	}

	stop(): void {
		for (const {controller, invariants} of this.instances) {
			controller.stop();
			expect([...invariants.violations.keys()]).toEqual([]);
		}
	}

	updatePeakLoads(): void {
		const loadingCount = this.engines.filter(engine => engine.models.some(model => model.state === 'loading')).length;
		this.peakLoads = Math.max(this.peakLoads, loadingCount);
	}

	listModelStates(): string[] {
		return this.engines.map(engine => engine.models.map(model => `${model.weightsVersion} ${model.state}`).join(','));
	}

	/** Advances the clock in steps of 100 ms. Returns the lowest number of ready engines. */
	async run(ms: number): Promise<number> {
		let lowestReadyCount = this.engines.length;
		for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 100) {
			await this.clock.advance(100);
			lowestReadyCount = Math.min(lowestReadyCount, this.engines.filter(engine => engine.models[0]?.state === 'ready').length);
		}

		return lowestReadyCount;
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
	test('guards against a rolling update that interrupts two of three engines at once', async () => {
		const fleet = new FakeFleet(3);
		fleet.start('a');
		const lowestReadyCount = await fleet.run(12_000);
		expect({lowestReadyCount, ready: fleet.listModelStates()}).toEqual({lowestReadyCount: 2, ready: ['v1 ready', 'v1 ready', 'v1 ready']});
		fleet.stop();
	});

	test('guards against orders after the lease expires while engine states are being read', async () => {
		const fleet = new FakeFleet();
		const holder = fleet.start('a');
		await fleet.run(1000);
		fleet.stateDelayMs = controllerLeaseMs + 4000;
		await fleet.run(2000);
		holder.isDisconnected = true;
		await fleet.run(30_000);
		expect(fleet.sentOrders).toEqual([]);
		fleet.stop();
	});

	test('guards against a rolling update that loads on more than two engines at once or leaves too few serving', async () => {
		const fleet = new FakeFleet();
		const holder = fleet.start('a');
		const lowestReadyCount = await fleet.run(12_000);
		expect(fleet.listModelStates()).toEqual(allReady('v1'));
		holder.declaredVersion = 'v2';
		const lowestDuringV2 = await fleet.run(12_000);
		expect(fleet.listModelStates()).toEqual(allReady('v2'));
		expect({maximumLoads: fleet.peakLoads, lowestReadyCount: Math.min(lowestReadyCount, lowestDuringV2)}).toEqual({maximumLoads: 2, lowestReadyCount: 4});
		fleet.stop();
	});

	test('guards against a former holder that continues after its lease expired while an order was in flight', async () => {
		const fleet = new FakeFleet();
		const former = fleet.start('a');
		let deliver: (() => void) | undefined;
		fleet.orderGate = new Promise(resolve => {
			deliver = resolve;
		});
		await fleet.run(4000);
		expect(fleet.sentOrders.map(order => order.fencing)).toEqual([1]);
		former.isDisconnected = true;
		fleet.orderGate = undefined;
		const successor = fleet.start('b');
		successor.declaredVersion = 'v2';
		await fleet.run(40_000);
		expect(fleet.listModelStates()).toEqual(allReady('v2'));
		const sentBefore = fleet.sentOrders.length;
		deliver!();
		await fleet.run(10_000);
		expect(fleet.listModelStates()).toEqual(allReady('v2'));
		expect(fleet.sentOrders.slice(sentBefore).every(order => order.fencing === 2)).toEqual(true);
		fleet.stop();
	});

	test('guards against an engine that ignores fencing and keeps the weights loaded by a delayed order', async () => {
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
		expect(fleet.listModelStates()).toEqual(allReady('v1'));
		fleet.stop();
	});

	test('guards against orders of two holders at once while responses to lease writes are lost and the store is down or slow', async () => {
		const fleet = new FakeFleet();
		const holders = ['a', 'b', 'c'].map(id => fleet.start(id));
		for (let round = 0; round < 6; round += 1) {
			fleet.api.faults.lostAnswers = round % 3;
			holders[round % 3]!.isDisconnected = true;
			holders[(round + 1) % 3]!.storeDelayMs = round % 2 === 0 ? 3000 : 0;
			for (const holder of holders) {
				holder.declaredVersion = `v${round}`;
			}

			await fleet.run(15_000);
			fleet.api.setDown(round === 3);
			await fleet.run(15_000);
			fleet.api.setDown(false);
			holders[round % 3]!.isDisconnected = false;
		}

		fleet.api.faults.lostAnswers = 0;
		await fleet.run(40_000);
		expect(fleet.listModelStates()).toEqual(allReady('v5'));
		const fencings = fleet.sentOrders.map(order => order.fencing);
		expect(fencings).toEqual(fencings.toSorted((a, b) => a - b));
		expect(new Set(fencings).size).toBeGreaterThan(1);
		expect(fleet.peakLoads).toEqual(2);
		fleet.stop();
	});

	test('guards against orders without a lease while the store is down, and against a new holder that does not wait for the order TTL', async () => {
		const fleet = new FakeFleet();
		const holder = fleet.start('a');
		await fleet.run(orderTtlMs);
		expect(fleet.sentOrders).toEqual([]);
		await fleet.run(10_000);
		fleet.api.setDown(true);
		await fleet.run(controllerLeaseMs);
		holder.declaredVersion = 'v2';
		const sentBefore = fleet.sentOrders.length;
		await fleet.run(20_000);
		expect(fleet.sentOrders.length).toEqual(sentBefore);
		fleet.api.setDown(false);
		await fleet.run(20_000);
		expect(fleet.listModelStates()).toEqual(allReady('v2'));
		fleet.stop();
	});
});
