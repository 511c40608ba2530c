import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {InstanceRegistry} from './index.js';

function createRegistry(objectApi: MemoryObjectApi, clock: ManualClock, name: string): InstanceRegistry {
	return new InstanceRegistry({
		objectApi, collection: 'instances', self: name as InstanceId, peerAddress: `${name}:1`, clock, logger: quietLogger,
	});
}

test('guards against an instance that peers never find because the object API was down when it started', async () => {
	const clock = new ManualClock();
	const objectApi = new MemoryObjectApi();
	objectApi.setDown(true);
	const registry = createRegistry(objectApi, clock, 'a');
	const registered = registry.register(new AbortController().signal);
	await clock.advance(2500);
	objectApi.setDown(false);
	await clock.advance(1000);
	await registered;
	const other = createRegistry(objectApi, clock, 'b');
	const {items} = await objectApi.list('instances');
	other.replace(items);
	const listed = await other.read();
	expect(listed.map(({id, address}) => [id, address])).toEqual([['a', 'a:1']]);
});

test('accepts the entry of an earlier process as its own, and counts all entries', async () => {
	const clock = new ManualClock();
	const objectApi = new MemoryObjectApi();
	const registry = createRegistry(objectApi, clock, 'a');
	await registry.register(new AbortController().signal);
	await registry.register(new AbortController().signal);
	await createRegistry(objectApi, clock, 'b').register(new AbortController().signal);
	expect(registry.registeredInstanceCount).toEqual(0);
	const {items} = await objectApi.list('instances');
	registry.replace(items);
	expect(registry.registeredInstanceCount).toEqual(2);
});

test('guards against an instance that peers never find because a restore of the object API removed its entry', async () => {
	const clock = new ManualClock();
	const objectApi = new MemoryObjectApi();
	const copy = objectApi.copy();
	const registry = createRegistry(objectApi, clock, 'a');
	const controller = new AbortController();
	void registry.keepRegistered(controller.signal);
	const refresh = async () => {
		await clock.advance(100);
		const {items} = await objectApi.list('instances');
		registry.replace(items);
		return items.map(({name}) => name);
	};

	expect(await refresh()).toEqual(['a']);
	objectApi.restore(copy);
	expect(await refresh()).toEqual([]);
	expect(await refresh()).toEqual(['a']);
	controller.abort();
});
