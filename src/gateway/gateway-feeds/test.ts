import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {FaultyObjectApi} from '../../fixtures/faulty-object-api/index.js';
import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import type {InstanceId, ResourceVersion, Revision} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import {FakePeerNetwork} from '../../peers/fake-peer-network/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import type {PlatformAdapter, WeightsNotice} from '../platform-adapter/index.js';
import {GatewayFeeds} from './index.js';

const collections = {
	configuration: 'configuration', targets: 'targets', weights: 'weights', instances: 'instances',
};

function createMember(id: InstanceId, revision: Revision): Member {
	const member: Partial<Member> = {id, revision, state: 'live'};
	return member as Member;
}

/** Instances that follow one object API. */
function createWorld(count: number) {
	const clock = new ManualClock();
	const memory = new MemoryObjectApi();
	const network = new FakePeerNetwork(clock);
	const ids = Array.from({length: count}, (_, index) => `i${index}` as InstanceId);
	const instances = ids.map((id, index) => {
		const api = new FaultyObjectApi(memory, clock);
		const endpoint = network.open(id);
		const seen = {
			revisions: [] as number[], targets: [] as readonly TargetDescription[], weights: [] as WeightsNotice[], instances: 0,
		};
		const adapter: Partial<PlatformAdapter> = {
			objectApi: api, collections,
			decodeConfiguration(object) {
				if (typeof object.value !== 'number') {
					throw new TypeError('not a number');
				}

				return createRoutingConfiguration({revision: object.value as Revision});
			},
			decodeTarget: object => object.value === null ? undefined : createDescription(object.name, {isLeaving: object.value === 'leaving'}),
			decodeWeights: object => ({model: object.name, version: Number(object.value)}),
		};
		const feeds: GatewayFeeds = new GatewayFeeds({
			self: id, adapter: adapter as PlatformAdapter, clock, logger: quietLogger, random: new RandomSource(index + 1),
			caller: endpoint, registry: endpoint,
			listPeers: () => instances.filter(other => other.id !== id).map(other => createMember(other.id, other.feeds.readRevision())),
			onConfiguration(configuration) {
				seen.revisions.push(configuration.revision);
			},
			onTargets(targets) {
				seen.targets = targets;
			},
			onWeights(weights) {
				seen.weights.push(weights);
			},
			onInstances(registered) {
				seen.instances = registered.length;
			},
		});
		const controller = new AbortController();
		return {
			id, api, feeds, seen,
			start() {
				void feeds.run(controller.signal);
			},
			stop() {
				controller.abort();
			},
		};
	});
	for (const {start} of instances) {
		start();
	}

	return {clock, memory, instances};
}

const listIds = (targets: readonly TargetDescription[]) => targets.map(({id}) => id as string).toSorted();

test('guards against old keys at an instance that the object API turns away: it learns the configuration from others', async () => {
	const {clock, memory, instances} = createWorld(3);
	const created = await memory.create('configuration', 'main', 1);
	await clock.advance(500);
	instances[0]!.api.isCut = true;
	instances[0]!.api.silenceWatches();
	await memory.update('configuration', 'main', 2, created.resourceVersion);
	await clock.advance(1000);
	for (const {seen, stop} of instances) {
		expect(seen.revisions).toEqual([1, 2]);
		stop();
	}
});

test('guards against going back to an older configuration', async () => {
	const {clock, memory, instances} = createWorld(1);
	const created = await memory.create('configuration', 'main', 5);
	await clock.advance(500);
	await memory.update('configuration', 'main', 4, created.resourceVersion);
	await clock.advance(500);
	expect(instances[0]!.seen.revisions).toEqual([5]);
	instances[0]!.stop();
});

test('keeps the last configuration in force when a newer one cannot be read', async () => {
	const {clock, memory, instances} = createWorld(1);
	const created = await memory.create<unknown>('configuration', 'main', 1);
	await clock.advance(500);
	await memory.update<unknown>('configuration', 'main', 'broken', created.resourceVersion);
	await clock.advance(500);
	expect(instances[0]!.feeds.readRevision() as number).toEqual(1);
	instances[0]!.stop();
});

test('guards against dropping live targets whose entries lapsed while the object API was away, and keeps gone ones no longer than that', async () => {
	const {clock, memory, instances} = createWorld(1);
	const {seen, stop} = instances[0]!;
	await memory.create('targets', 'a', 1);
	await memory.create('targets', 'b', 1);
	await clock.advance(500);
	memory.setDown(true);
	await clock.advance(3000);
	memory.faults.isDown = false;
	await memory.remove('targets', 'a');
	await memory.remove('targets', 'b');
	await clock.advance(1500);
	expect(listIds(seen.targets)).toEqual(['a', 'b']);
	await memory.create('targets', 'a', 1);
	await clock.advance(4000);
	expect(listIds(seen.targets)).toEqual(['a']);
	stop();
});

test('guards against calls to a target that was removed in quiet times', async () => {
	const {clock, memory, instances} = createWorld(1);
	const {seen, stop} = instances[0]!;
	await memory.create('targets', 'a', 1);
	await clock.advance(3000);
	await memory.remove('targets', 'a', undefined as ResourceVersion | undefined);
	await clock.advance(50);
	expect(seen.targets).toEqual([]);
	stop();
});

test('ignores entries that cannot be read and keeps the others', async () => {
	const {clock, memory, instances} = createWorld(1);
	await memory.create('targets', 'bad', null);
	await memory.create('targets', 'good', 1);
	await clock.advance(500);
	expect(listIds(instances[0]!.seen.targets)).toEqual(['good']);
	instances[0]!.stop();
});

/** More instances than watch the object API themselves. */
const largeFleet = 24;

/** Advances far enough that the instances which do not watch have ended their watches. */
async function createLargeWorld() {
	const world = createWorld(largeFleet);
	const {clock, memory, instances} = world;
	const configuration = await memory.create('configuration', 'main', 1);
	await memory.create('targets', 'a', 1);
	await clock.advance(3000);
	const watchers = instances.filter(({feeds}) => (feeds.dump() as {isWatcher: boolean}).isWatcher);
	return {
		...world, watchers, configuration,
		stop() {
			for (const instance of instances) {
				instance.stop();
			}
		},
	};
}

test('guards against calls of the object API that grow with the fleet: a few instances watch, the others follow them', async () => {
	const {clock, memory, instances, watchers, configuration, stop} = await createLargeWorld();
	expect(watchers.length).toEqual(3);
	const countCalls = () => instances.reduce((sum, {api}) => sum + api.reads + api.watches, 0);
	const before = countCalls();
	await memory.update('configuration', 'main', 2, configuration.resourceVersion);
	await memory.remove('targets', 'a');
	await clock.advance(1500);
	expect(instances.filter(({seen}) => seen.revisions.at(-1) === 2 && seen.targets.length === 0).length).toEqual(largeFleet);
	expect(countCalls() - before <= 3 * 4).toEqual(true);
	stop();
});

test('guards against a watcher whose watch went silent: its followers hear of a change from the next one', async () => {
	const {clock, memory, instances, watchers, configuration, stop} = await createLargeWorld();
	for (const {api} of watchers.slice(1)) {
		api.isCut = true;
		api.silenceWatches();
	}

	await memory.update('configuration', 'main', 2, configuration.resourceVersion);
	await clock.advance(4500);
	expect(instances.filter(({seen}) => seen.revisions.at(-1) === 2).length >= largeFleet - 2).toEqual(true);
	stop();
});

test('guards against a fleet without news when the object API turns all watchers away', async () => {
	const {clock, memory, instances, watchers, configuration, stop} = await createLargeWorld();
	for (const {api} of watchers) {
		api.isCut = true;
		api.silenceWatches();
	}

	await memory.update('configuration', 'main', 2, configuration.resourceVersion);
	await clock.advance(14_000);
	expect(instances.filter(({seen}) => seen.revisions.at(-1) === 2).length).toEqual(largeFleet);
	stop();
});

test('guards against targets that a follower drops although their entries only lapsed while the object API was away', async () => {
	const {clock, memory, instances, stop} = await createLargeWorld();
	memory.setDown(true);
	await clock.advance(4000);
	memory.faults.isDown = false;
	await memory.remove('targets', 'a');
	await clock.advance(1800);
	expect(instances.filter(({seen}) => seen.targets.length === 1).length).toEqual(largeFleet);
	await memory.create('targets', 'a', 1);
	await clock.advance(4000);
	expect(instances.filter(({seen}) => seen.targets.length === 1).length).toEqual(largeFleet);
	stop();
});
