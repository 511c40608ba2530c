import {test} from 'node:test';
import {expect} from 'earl';
import {longestWaitMs, startStreamDirectories} from '../../fixtures/start-stream-directories/index.js';
import {historyName} from './index.js';

/** Time in which a change of the versions is written, in milliseconds. */
const writtenMs = 10_000;
const collection = 'streams';

type Fleet = ReturnType<typeof startStreamDirectories>;

async function readStored({objectApi}: Fleet): Promise<unknown> {
	const {value} = await objectApi.get<{services: unknown}>(collection, historyName);
	return value.services;
}

test('guards against a kill of all instances after which the version that began a stream is guessed from those that are left', async () => {
	const fleet = startStreamDirectories(9);
	fleet.list('v1');
	await fleet.clock.advance(writtenMs);
	fleet.restartAll();
	fleet.list('v2');
	expect(await fleet.instances[3]!.takeUp('r1')).toEqual(undefined);
});

test('guards against refused streams after a kill of all instances on a day without a release', async () => {
	const fleet = startStreamDirectories(9);
	fleet.list('v1');
	await fleet.clock.advance(writtenMs);
	fleet.restartAll();
	fleet.list('v1');
	expect(await fleet.instances[3]!.takeUp('r1')).toEqual('v1');
});

test('guards against a version that counts for ever because nobody removes it, and against writes of each instance', async () => {
	const fleet = startStreamDirectories(9);
	fleet.list('v1', 'v2');
	await fleet.clock.advance(writtenMs);
	expect(await readStored(fleet)).toEqual({'service-1': ['v1', 'v2']});
	fleet.list('v2');
	await fleet.clock.advance(longestWaitMs + writtenMs);
	expect(await readStored(fleet)).toEqual({'service-1': ['v2']});
	expect(fleet.objectApi.calls.write).toEqual(2);
	fleet.restartAll();
	fleet.list('v2');
	expect(await fleet.instances[3]!.takeUp('r1')).toEqual('v2');
});

test('guards against an instance that starts while the object API is down and takes the present version for the only one', async () => {
	const fleet = startStreamDirectories(9);
	fleet.list('v1', 'v2');
	await fleet.clock.advance(writtenMs);
	fleet.list('v2');
	fleet.objectApi.faults.isDown = true;
	fleet.instances[4]!.stop();
	fleet.instances[4] = fleet.startDirectory('i4');
	fleet.list('v2');
	expect(await fleet.instances[4].takeUp('r1')).toEqual(undefined);
	expect(fleet.instances[4].directory.dump().versions).toEqual({'service-1': ['v1', 'v2'] as never});
});

test('guards against versions that a restore of the object API has lost', async () => {
	const fleet = startStreamDirectories(3);
	const copy = fleet.objectApi.copy();
	fleet.list('v1', 'v2');
	await fleet.clock.advance(writtenMs);
	fleet.objectApi.restore(copy);
	await fleet.clock.advance(writtenMs);
	expect(await readStored(fleet)).toEqual({'service-1': ['v1', 'v2']});
});

test('guards against a stored value of another writer that stops the instance, or that counts as none', async () => {
	for (const value of [null, 'text', {}, {services: [1]}, {services: {s: 'v1'}}, {services: {s: ['']}}]) {
		const fleet = startStreamDirectories(3, undefined, value);
		fleet.list('v2');
		expect(await fleet.instances[0]!.takeUp('r1')).toEqual(undefined);
		await fleet.clock.advance(longestWaitMs + writtenMs);
		expect(await readStored(fleet)).toEqual({'service-1': ['v2']});
		expect(await fleet.instances[0]!.takeUp('r1')).toEqual('v2');
	}
});
