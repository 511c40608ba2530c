import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {startGatewayFeeds} from '../../fixtures/start-gateway-feeds/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {TargetRetention} from './index.js';

const toMonotonicMs = (ms: number) => ms as MonotonicMs;
const outage = {isInterrupted: true, silenceMs: 2000};
const calm = {isInterrupted: false, silenceMs: 100};
const createListedTargets = (...ids: string[]) => new Map(ids.map(id => [id, createDescription(id)]));

test('guards against dropping live targets whose entries expired during an interruption of the object API', () => {
	const retention = new TargetRetention();
	retention.addRetainedTargets(createListedTargets('a', 'b'), toMonotonicMs(0));
	retention.updateContact(outage, toMonotonicMs(1000));
	expect([...retention.addRetainedTargets(createListedTargets('a'), toMonotonicMs(2000)).keys()].toSorted()).toEqual(['a', 'b']);
	expect(retention.updateContact(calm, toMonotonicMs(1100))).toEqual(false);
	expect(retention.updateContact(calm, toMonotonicMs(3100))).toEqual(false);
	expect(retention.updateContact(calm, toMonotonicMs(3300))).toEqual(true);
	expect([...retention.addRetainedTargets(createListedTargets('a'), toMonotonicMs(3300)).keys()]).toEqual(['a']);
});

test('guards against calls to targets that were removed while the object API was available, or that announced that they are leaving', () => {
	const retention = new TargetRetention();
	const leaving = new Map([...createListedTargets('a'), ['b', createDescription('b', {isLeaving: true})] as const]);
	retention.addRetainedTargets(leaving, toMonotonicMs(0));
	expect([...retention.addRetainedTargets(createListedTargets('a'), toMonotonicMs(100)).keys()]).toEqual(['a']);
	retention.addRetainedTargets(leaving, toMonotonicMs(200));
	retention.updateContact(outage, toMonotonicMs(300));
	expect([...retention.addRetainedTargets(createListedTargets('a'), toMonotonicMs(400)).keys()]).toEqual(['a']);
});

test('guards against calls to targets that were removed while the object API was interrupted for this instance only', () => {
	const retention = new TargetRetention();
	retention.addRetainedTargets(createListedTargets('a', 'b'), toMonotonicMs(0));
	retention.updateContact({isInterrupted: true, silenceMs: 300}, toMonotonicMs(1000));
	expect([...retention.addRetainedTargets(createListedTargets('a'), toMonotonicMs(1100)).keys()]).toEqual(['a']);
});

/** Number of instances of a fleet in which all watch. */
const smallFleetCount = 8;

const bookmarkIntervalMs = 100;

/** Starts a small fleet with target `a`, whose object API sends bookmarks while the clock advances by `run`. */
async function startConfirmedFleet() {
	const fleet = startGatewayFeeds(smallFleetCount);
	const {clock, objectApi, instances} = fleet;
	const run = async (ms: number) => {
		for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += bookmarkIntervalMs) {
			await clock.advance(bookmarkIntervalMs);
			objectApi.sendBookmarks();
		}
	};

	await objectApi.create('targets', 'a', 1);
	await run(2500);
	return {
		...fleet, run,
		countKnowing: () => instances.filter(({applied}) => applied.targets.length === 1).length,
		stop() {
			for (const instance of instances) {
				instance.stop();
			}
		},
	};
}

test('guards against calls to a target that was removed while one instance was cut off from the object API, and others were not', async () => {
	for (const cutMs of [1000, 5500]) {
		const {objectApi, instances, run, countKnowing, stop} = await startConfirmedFleet();
		const {api} = instances[0]!;
		api.isCut = true;
		api.breakWatches();
		await run(cutMs - 1000);
		await objectApi.remove('targets', 'a');
		await run(1000);
		api.isCut = false;
		await run(2500);
		expect(countKnowing()).toEqual(0);
		stop();
	}
});

test('guards against a cut-off instance that drops live targets whose entries expired while the object API was down for all', async () => {
	const {objectApi, instances, run, countKnowing, stop} = await startConfirmedFleet();
	const {api} = instances[0]!;
	api.isCut = true;
	api.breakWatches();
	await run(2000);
	objectApi.setDown(true);
	await run(3000);
	objectApi.faults.isDown = false;
	await objectApi.remove('targets', 'a');
	await run(1900);
	expect(countKnowing()).toEqual(smallFleetCount);
	await run(4500);
	expect(countKnowing()).toEqual(0);
	stop();
});

test('guards against dropping live targets that are missing because the object API was restored from a copy after a short absence', async () => {
	const {objectApi, run, countKnowing, stop} = await startConfirmedFleet();
	const target = await objectApi.get('targets', 'a');
	await objectApi.remove('targets', 'a', target.resourceVersion);
	const copy = objectApi.copy();
	await objectApi.create('targets', 'a', 1);
	await run(500);
	objectApi.restore(copy);
	await run(1900);
	expect(countKnowing()).toEqual(smallFleetCount);
	stop();
});
