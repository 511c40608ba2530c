import {test} from 'node:test';
import {expect} from 'earl';
import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import type {ResourceVersion} from '../../identity/ids/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {ObjectApiError} from '../../store/object-api/index.js';
import {feedCollections, seedCount, startGatewayFeeds} from '../../fixtures/start-gateway-feeds/index.js';

const listIds = (targets: readonly TargetDescription[]) => targets.map(({id}) => id as string).toSorted();

test('guards against an outdated configuration at an instance that cannot reach the object API: it fetches the configuration from peers', async () => {
	const {clock, objectApi, instances} = startGatewayFeeds(3);
	const created = await objectApi.create('configuration', 'main', 1);
	await clock.advance(500);
	instances[0]!.api.isCut = true;
	instances[0]!.api.silenceWatches();
	await objectApi.update('configuration', 'main', 2, created.resourceVersion);
	await clock.advance(1000);
	for (const {applied, stop} of instances) {
		expect(applied.revisions).toEqual([1, 2]);
		stop();
	}
});

test('guards against reverting to an older configuration', async () => {
	const {clock, objectApi, instances} = startGatewayFeeds(1);
	const created = await objectApi.create('configuration', 'main', 5);
	await clock.advance(500);
	await objectApi.update('configuration', 'main', 4, created.resourceVersion);
	await clock.advance(500);
	expect(instances[0]!.applied.revisions).toEqual([5]);
	instances[0]!.stop();
});

test('keeps the last configuration in force when a newer one cannot be decoded', async () => {
	const {clock, objectApi, instances} = startGatewayFeeds(1);
	const created = await objectApi.create<unknown>('configuration', 'main', 1);
	await clock.advance(500);
	await objectApi.update<unknown>('configuration', 'main', 'broken', created.resourceVersion);
	await clock.advance(500);
	expect(instances[0]!.feeds.readRevision() as number).toEqual(1);
	instances[0]!.stop();
});

test('guards against dropping live targets whose entries expired during an outage of the object API, and drops stopped ones afterwards', async () => {
	const {clock, objectApi, instances} = startGatewayFeeds(1);
	const {applied, stop} = instances[0]!;
	await objectApi.create('targets', 'a', 1);
	await objectApi.create('targets', 'b', 1);
	await clock.advance(500);
	objectApi.setDown(true);
	await clock.advance(3000);
	objectApi.faults.isDown = false;
	await objectApi.remove('targets', 'a');
	await objectApi.remove('targets', 'b');
	await clock.advance(1500);
	expect(listIds(applied.targets)).toEqual(['a', 'b']);
	await objectApi.create('targets', 'a', 1);
	await clock.advance(4000);
	expect(listIds(applied.targets)).toEqual(['a']);
	stop();
});

test('guards against calls to a target that was removed while the object API was available', async () => {
	const {clock, objectApi, instances} = startGatewayFeeds(1);
	const {applied, stop} = instances[0]!;
	await objectApi.create('targets', 'a', 1);
	await clock.advance(3000);
	await objectApi.remove('targets', 'a', undefined as ResourceVersion | undefined);
	await clock.advance(50);
	expect(applied.targets).toEqual([]);
	stop();
});

test('ignores entries that cannot be decoded and keeps the others', async () => {
	const {clock, objectApi, instances} = startGatewayFeeds(1);
	await objectApi.create('targets', 'bad', null);
	await objectApi.create('targets', 'good', 1);
	await clock.advance(500);
	expect(listIds(instances[0]!.applied.targets)).toEqual(['good']);
	instances[0]!.stop();
});

/** Number of instances at which only some watch the object API themselves. */
const largeFleetSize = 24;

/** Starts a large fleet, and advances the clock until only the watchers still watch. */
async function startLargeFleet(size = largeFleetSize) {
	const fleet = startGatewayFeeds(size);
	const {clock, objectApi, instances} = fleet;
	const configuration = await objectApi.create('configuration', 'main', 1);
	await objectApi.create('targets', 'a', 1);
	await clock.advance(3000);
	const watchers = instances.filter(({feeds}) => (feeds.dump() as {isWatcher: boolean}).isWatcher);
	return {
		...fleet, watchers, configuration,
		stop() {
			for (const instance of instances) {
				instance.stop();
			}
		},
	};
}

test('guards against object API calls that grow with the fleet: a few instances watch, and the others follow them', async () => {
	const {clock, objectApi, instances, watchers, configuration, stop} = await startLargeFleet();
	expect(watchers.length).toEqual(3);
	const countCalls = () => instances.reduce((sum, {api}) => sum + api.readCount + api.watchCount, 0);
	const callsBefore = countCalls();
	await objectApi.update('configuration', 'main', 2, configuration.resourceVersion);
	await objectApi.remove('targets', 'a');
	await clock.advance(1500);
	expect(instances.filter(({applied}) => applied.revisions.at(-1) === 2 && applied.targets.length === 0).length).toEqual(largeFleetSize);
	expect(countCalls() - callsBefore <= 3 * 4).toEqual(true);
	stop();
});

test('guards against missed changes when the watch of a watcher is silent: followers get them from the next watcher', async () => {
	const {clock, objectApi, instances, watchers, configuration, stop} = await startLargeFleet();
	for (const {api} of watchers.slice(1)) {
		api.isCut = true;
		api.silenceWatches();
	}

	await objectApi.update('configuration', 'main', 2, configuration.resourceVersion);
	await clock.advance(4500);
	expect(instances.filter(({applied}) => applied.revisions.at(-1) === 2).length >= largeFleetSize - 2).toEqual(true);
	stop();
});

test('guards against missed changes when no watcher can reach the object API: additional instances watch', async () => {
	const {clock, objectApi, instances, watchers, configuration, stop} = await startLargeFleet();
	for (const {api} of watchers) {
		api.isCut = true;
		api.silenceWatches();
	}

	await objectApi.update('configuration', 'main', 2, configuration.resourceVersion);
	await clock.advance(14_000);
	expect(instances.filter(({applied}) => applied.revisions.at(-1) === 2).length).toEqual(largeFleetSize);
	stop();
});

test('guards against a follower that drops live targets whose entries expired during an outage of the object API', async () => {
	const {clock, objectApi, instances, stop} = await startLargeFleet();
	objectApi.setDown(true);
	await clock.advance(4000);
	objectApi.faults.isDown = false;
	await objectApi.remove('targets', 'a');
	await clock.advance(1800);
	expect(instances.filter(({applied}) => applied.targets.length === 1).length).toEqual(largeFleetSize);
	await objectApi.create('targets', 'a', 1);
	await clock.advance(4000);
	expect(instances.filter(({applied}) => applied.targets.length === 1).length).toEqual(largeFleetSize);
	stop();
});

/** Time within which a configuration has to be in force, in milliseconds. */
const configurationLimitMs = 3000;

test('guards against an outdated configuration when the object API turns away all watchers and a third of the other instances', async () => {
	const {clock, objectApi, instances, watchers, configuration, stop} = await startLargeFleet(72);
	const others = instances.filter(instance => !watchers.includes(instance));
	for (const {api} of [...watchers, ...others.slice(0, others.length / 3)]) {
		api.isCut = true;
		api.breakWatches();
	}

	await clock.advance(160);
	await objectApi.update('configuration', 'main', 2, configuration.resourceVersion);
	await clock.advance(configurationLimitMs);
	expect(instances.filter(({applied}) => applied.revisions.at(-1) === 2).length).toEqual(72);
	stop();
});

test('guards against object API calls of each instance at the start of a large fleet: only seeds watch before they know their peers', async () => {
	const {instances, stop} = await startLargeFleet(72);
	const callCount = instances.reduce((sum, {api}) => sum + api.readCount + api.watchCount, 0);
	expect(callCount <= 6 * 4 * 3).toEqual(true);
	stop();
});

test('guards against calls that wait for seeds after a restart of all instances: an instance that callers use reads the configuration itself', async () => {
	const {clock, objectApi, instances} = startGatewayFeeds(8, true);
	await objectApi.create('configuration', 'main', 1);
	for (const {api} of instances.slice(0, seedCount)) {
		api.isCut = true;
	}

	await clock.advance(400);
	for (const {applied, stop} of instances) {
		expect(applied.revisions.length === 1 || instances.findIndex(instance => instance.applied === applied) < seedCount).toEqual(true);
		stop();
	}
});

test('guards against weights that count as newly announced at an instance whose watch was silent, and at followers', async () => {
	const {clock, objectApi, instances} = startGatewayFeeds(14);
	const created = await objectApi.create('weights', 'm', 1);
	await clock.advance(3000);
	for (const {api} of instances) {
		api.isCut = true;
		api.silenceWatches();
	}

	const announcedAt = clock.readMonotonic();
	await objectApi.update('weights', 'm', 2, created.resourceVersion);
	await clock.advance(2000);
	for (const {api} of instances) {
		api.isCut = false;
	}

	for (let steps = 0; steps < 100 && instances.some(({applied}) => applied.weights.at(-1)?.version !== 2); steps += 1) {
		await clock.advance(100);
		for (const {applied} of instances) {
			if (applied.weights.at(-1)?.version === 2 && applied.weightsAgesMs.length === applied.weights.length) {
				expect(applied.weightsAgesMs.at(-1)! >= clock.readMonotonic() - announcedAt - 100).toEqual(true);
				applied.weightsAgesMs.push(undefined);
			}
		}
	}

	for (const {applied, stop} of instances) {
		expect(applied.weights.at(-1)?.version).toEqual(2);
		stop();
	}
});

test('guards against an instance that takes calls without the quarantines that others know: it reads them from the object API or from a peer', async () => {
	const {clock, objectApi, instances} = startGatewayFeeds(4);
	await objectApi.create(feedCollections.configuration, 'main', 7);
	await objectApi.create(feedCollections.quarantines, 'q1', {});
	expect(instances.some(({feeds}) => feeds.canServe(clock.readMonotonic()))).toEqual(false);
	await clock.advance(2000);
	expect(instances.map(({feeds, applied}) => [feeds.canServe(clock.readMonotonic()), applied.quarantines])).toEqual(instances.map(() => [true, ['q1']]));
	await objectApi.remove(feedCollections.quarantines, 'q1');
	await clock.advance(3000);
	expect(instances.map(({applied}) => applied.quarantines)).toEqual(instances.map(() => []));
});

test('guards against calls that are refused for long because the stored quarantines cannot be read', async () => {
	const {clock, objectApi, instances} = startGatewayFeeds(1);
	const {feeds, applied} = instances[0]!;
	objectApi.list = async collection => {
		if (collection === feedCollections.quarantines) {
			throw new ObjectApiError('unavailable', 'the collection cannot be listed');
		}

		return MemoryObjectApi.prototype.list.call(objectApi, collection) as never;
	};

	await objectApi.create(feedCollections.configuration, 'main', 7);
	while (applied.revisions.length === 0) {
		await clock.advance(10);
	}

	expect(feeds.canServe(clock.readMonotonic())).toEqual(false);
	await clock.advance(400);
	expect(feeds.canServe(clock.readMonotonic())).toEqual(true);
});

test('guards against weights that were replaced unseen and count as announced after the watch had been silent', async () => {
	const {clock, objectApi, instances} = startGatewayFeeds(1);
	const first = await objectApi.create('weights', 'm', 1);
	await clock.advance(3000);
	objectApi.sendBookmarks();
	const {api, applied, stop} = instances[0]!;
	api.isCut = true;
	api.silenceWatches();
	const announcedAt = clock.readMonotonic();
	const second = await objectApi.update('weights', 'm', 2, first.resourceVersion);
	await clock.advance(3500);
	await objectApi.update('weights', 'm', 3, second.resourceVersion);
	await clock.advance(100);
	api.isCut = false;
	while (applied.weights.at(-1)?.version !== 3) {
		await clock.advance(100);
	}

	expect(applied.unseenAgesMs.at(-1)! >= clock.readMonotonic() - announcedAt - 100).toEqual(true);
	expect(applied.weights.map(({version}) => version)).toEqual([1, 3]);
	stop();
});

/**
 * Configures revisions 1 and 2, lets the object API go back to a copy of before revision 2, writes revision 2 again, and
 * then configures revision 3 and lets a target leave.
 */
async function restoreAndConfigure(count: number) {
	const {clock, objectApi, instances} = startGatewayFeeds(count);
	const configure = async (revision: number) => {
		const {resourceVersion} = await objectApi.get('configuration', 'main');
		await objectApi.update('configuration', 'main', revision, resourceVersion);
	};

	const writeTarget = async (value: unknown) => {
		const {resourceVersion} = await objectApi.get('targets', 'a');
		await objectApi.update('targets', 'a', value, resourceVersion);
	};

	await objectApi.create('configuration', 'main', 1);
	await objectApi.create<unknown>('targets', 'a', 1);
	await clock.advance(2500);
	const copy = objectApi.copy();
	for (let number = 0; number < 20; number += 1) {
		await objectApi.create('instances', `later${number}`, 1);
	}

	await writeTarget(2);
	await configure(2);
	await clock.advance(1500);
	objectApi.restore(copy);
	await configure(2);
	await clock.advance(500);
	await writeTarget('leaving');
	await configure(3);
	await clock.advance(1500);
	for (const {stop} of instances) {
		stop();
	}

	return instances.map(({applied}) => applied);
}

test('guards against changes that are missed after the object API was restored from a copy and gives versions out again', async () => {
	for (const count of [3, 20]) {
		const applied = await restoreAndConfigure(count);
		expect(applied.map(({revisions}) => revisions)).toEqual(applied.map(() => [1, 2, 3]));
		expect(applied.map(({targets}) => targets.map(({isLeaving}) => isLeaving))).toEqual(applied.map(() => [true]));
	}
});

test('guards against a watch of orders of software versions where the settings don\'t ask for it', async () => {
	const {clock, instances} = startGatewayFeeds(1);
	await clock.advance(500);
	const [{api, feeds, stop}] = instances as [typeof instances[number]];
	const {collections} = feeds.dump() as {collections: Array<{collection: string}>};
	expect(collections.map(({collection}) => collection).includes(feedCollections.rollouts)).toEqual(false);
	expect(api.watchCount).toEqual(collections.length);
	stop();
});
