import {once} from 'node:events';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {after, describe, test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {SystemClock} from '../../clock/clock/index.js';
import {Configuration, type ResolvedModel, type ResolvedTarget} from '../../configuration/configuration/index.js';
import {fetchJson} from '../../http/fetch-json/index.js';
import type {
	DataCentreId, FleetId, Incarnation, ModelId, Revision, TargetId,
} from '../../identity/ids/index.js';
import {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import {Lease} from '../../leases/lease/index.js';
import {createLogger} from '../../logging/create-logger/index.js';
import {TargetController, controllerLeaseMs, controllerLeaseName} from '../../orders/target-controller/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {HttpEngineClient} from '../../targets/http-engine-client/index.js';
import {EngineServer} from '../engine-server/index.js';
import {WeightStoreServer} from './index.js';

const loadMs = 200;

async function listen(server: Server): Promise<string> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	after(() => {
		server.closeAllConnections();
		server.close();
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Loads weights `count` times at once. */
async function load(origin: string, count: number): Promise<void> {
	await Promise.all(Array.from({length: count}, async () => fetchJson(`${origin}/weights/base/v1`, {timeoutMs: 5000})));
}

function createConfiguration(addresses: readonly string[]): Configuration {
	const model: ResolvedModel = {
		id: 'm' as ModelId, name: 'm', fleets: [], base: 'base', weightsVersion: 'v2', deterministic: false,
	};
	const targets = addresses.map((address, index): ResolvedTarget => ({
		id: `t${index}` as TargetId, fleet: 'north' as FleetId, dataCentre: 'dc' as DataCentreId, type: 'engine', address,
		models: [model.id], checksFencing: index % 2 === 0, role: 'decode', state: 'live',
	}));
	return new Configuration(1 as Revision, {
		organisations: [], keys: [], models: [model], routes: [], targets,
	});
}

describe('WeightStoreServer', () => {
	test('guards against concurrent loads that do not share bandwidth and against a missing rate limit', async () => {
		let now = 0;
		const store = new WeightStoreServer({loadMs, loadsPerSecond: 6, readMonotonic: () => now});
		const origin = `http://${await listen(store.server)}`;
		await load(origin, 2);
		const startedAt = performance.now();
		await load(origin, 4);
		// Delays of a busy machine only lengthen the loads; SharedBandwidth has the exact durations on a simulated clock.
		expect({isSlower: performance.now() - startedAt > 1.5 * loadMs, maximumLoads: store.maximumLoads}).toEqual({isSlower: true, maximumLoads: 4});
		now = 999;
		await expect(load(origin, 1)).toBeRejected();
		now = 1000;
		await load(origin, 1);
	});

	test('guards against a controller and engines that fail to reach the declared models and roles', async () => {
		const clock = new SystemClock();
		const store = new WeightStoreServer({loadMs, loadsPerSecond: 20});
		const weightStore = `http://${await listen(store.server)}`;
		const addresses = await Promise.all([0, 1, 2, 3].map(async index => listen(new EngineServer({
			speed: {slots: 1, prefillTokensPerMs: 1000, decodeMsPerToken: 1}, cacheBlocks: 16, loadLagMs: 50, eventLagMs: 10, loadMs,
			models: [{base: 'base', weightsVersion: 'v1', state: 'ready'}], checksFencing: index % 2 === 0, weightStore,
		}).server)));
		const clients = addresses.map(address => new HttpEngineClient({address}));
		const configuration = createConfiguration(addresses);
		const controller = new TargetController({
			clock, logger: createLogger({}, true), invariants: new InvariantChecker({isStrict: true}),
			lease: new Lease({
				objectApi: new MemoryObjectApi(), clock, name: controllerLeaseName, holder: 'a', incarnation: 'a' as Incarnation, durationMs: controllerLeaseMs,
			}),
			readConfiguration: () => configuration,
			findEngine: target => clients[configuration.data.targets.indexOf(target)],
			isContender: () => true,
		});
		void controller.run();
		const isReached = async () => {
			const states = await Promise.all(clients.map(async client => client.readState()));
			return states.every(state => state.role === 'decode' && state.models.every(model => model.weightsVersion === 'v2' && model.state === 'ready'));
		};

		const deadline = clock.readMonotonic() + 20_000;
		while (!await isReached() && clock.readMonotonic() < deadline) {
			await delay(50);
		}

		expect({isReached: await isReached(), maximumLoads: store.maximumLoads}).toEqual({isReached: true, maximumLoads: 2});
		controller.stop();
		await Promise.all(clients.map(async client => client.close()));
	});
});
