import {test} from 'node:test';
import {expect} from 'earl';
import {longestWaitMs, startStreamDirectories} from '../../fixtures/start-stream-directories/index.js';
import {calculateWriteIntervalMs, holderPrefix} from './index.js';

/** Time in which a record reaches its holders and these write it, in milliseconds. */
const storedMs = 200 + (2 * calculateWriteIntervalMs(13));
const collection = 'streams';

type Fleet = ReturnType<typeof startStreamDirectories>;

async function listHolders({objectApi}: Fleet): Promise<string[]> {
	const {items} = await objectApi.list(collection);
	return items.map(({name}) => name).filter(name => name.startsWith(holderPrefix));
}

for (const count of [3, 9, 77, 195]) {
	test(`guards against streams that no one of ${count} instances can continue after a kill of all`, async () => {
		const fleet = startStreamDirectories(count);
		fleet.list('v1', 'v2');
		await fleet.clock.advance(storedMs);
		const requests = Array.from({length: 20}, (_, index) => ({request: `r${index}`, software: index % 2 === 0 ? 'v1' : 'v2'}));
		for (const [index, {request, software}] of requests.entries()) {
			fleet.instances[index % count]!.begin(request, software);
		}

		const callsBefore = fleet.objectApi.calls.write;
		await fleet.clock.advance(storedMs);
		const holders = Math.max(3, Math.ceil(count / 16));
		expect(fleet.objectApi.calls.write - callsBefore <= Math.ceil(storedMs / calculateWriteIntervalMs(holders)) * holders).toEqual(true);
		fleet.restartAll();
		fleet.list('v2');
		const found: Array<string | undefined> = [];
		for (const [index, {request}] of requests.entries()) {
			found.push(await fleet.instances[(index + 7) % count]!.takeUp(request));
		}

		expect(found).toEqual(requests.map(({software}) => software));
	});
}

test('guards against a holder that starts again and replaces the records that its process before has written', async () => {
	const fleet = startStreamDirectories(3);
	fleet.list('v1', 'v2');
	fleet.instances[0]!.begin('r1', 'v1');
	await fleet.clock.advance(storedMs);
	for (const round of [1, 2]) {
		fleet.restartAll();
		fleet.list('v1', 'v2');
		await fleet.clock.advance(storedMs);
		fleet.instances[0]!.begin(`later${round}`, 'v2');
		await fleet.clock.advance(storedMs);
	}

	fleet.restartAll();
	fleet.list('v1', 'v2');
	expect(await fleet.instances[2]!.takeUp('r1')).toEqual('v1');
});

test('guards against records that stay in the object API when nobody needs them', async () => {
	const fleet = startStreamDirectories(9);
	fleet.list('v1', 'v2');
	fleet.instances[0]!.begin('r1', 'v1');
	await fleet.clock.advance(storedMs);
	const holders = await listHolders(fleet);
	expect(holders.length).toEqual(2);
	fleet.list('v2');
	await fleet.clock.advance(longestWaitMs + 2000);
	expect(await listHolders(fleet)).toEqual([]);
});

test('guards against records of another writer that stop the instance or are believed', async () => {
	const fleet = startStreamDirectories(3);
	fleet.list('v1', 'v2');
	await fleet.clock.advance(storedMs);
	for (const [index, value] of [null, 5, {streams: {v1: 'xyz'}}, {streams: {v1: 5}}, {streams: ['v1']}].entries()) {
		await fleet.objectApi.create(collection, `${holderPrefix}x${index}`, value);
	}

	fleet.instances[0]!.begin('r1', 'v1');
	await fleet.clock.advance(storedMs);
	fleet.restartAll();
	fleet.list('v1', 'v2');
	expect(await fleet.instances[1]!.takeUp('r1')).toEqual('v1');
	expect(await fleet.instances[1]!.takeUp('r2')).toEqual(undefined);
});

test('guards against a call that fails because the object API is down while a stream is taken up', async () => {
	const fleet = startStreamDirectories(3);
	fleet.list('v1', 'v2');
	await fleet.clock.advance(storedMs);
	fleet.objectApi.faults.isDown = true;
	fleet.instances[0]!.begin('r1', 'v1');
	await fleet.clock.advance(storedMs);
	expect([await fleet.instances[1]!.takeUp('r1'), await fleet.instances[1]!.takeUp('r2')]).toEqual(['v1', undefined]);
});

test('guards against a fleet whose holders write more often the more there are', () => {
	const countWrites = (holders: number) => holders * 1000 / calculateWriteIntervalMs(holders);
	expect([3, 5, 13, 22, 100].map(holders => countWrites(holders) <= 100)).toEqual([true, true, true, true, true]);
	expect([calculateWriteIntervalMs(3), calculateWriteIntervalMs(13)]).toEqual([100, 130]);
});
