import {test} from 'node:test';
import {expect} from 'earl';
import {MemoryObjectApi} from '../memory-object-api/index.js';
import {ConditionalObject} from './index.js';

function createObject(objectApi: MemoryObjectApi): ConditionalObject {
	return new ConditionalObject({objectApi, collection: 'c', name: 'n'});
}

test('guards against a writer that replaces what it has not read', async () => {
	const objectApi = new MemoryObjectApi();
	const [first, second] = [createObject(objectApi), createObject(objectApi)];
	expect([await first.read(), first.isKnown]).toEqual([undefined, true]);
	await first.write(1);
	await first.write(2);
	expect(await second.write(3).then(() => 'written', () => 'failed')).toEqual('failed');
	expect([second.isKnown, await second.read()]).toEqual([false, 2]);
	await second.write(3);
	expect(await first.write(4).then(() => 'written', () => 'failed')).toEqual('failed');
	expect([first.isKnown, await first.read()]).toEqual([false, 3]);
});

test('guards against taking a write with a lost answer for one that failed', async () => {
	const objectApi = new MemoryObjectApi();
	const object = createObject(objectApi);
	objectApi.faults.lostAnswers = 1;
	await object.write(1).catch(() => undefined);
	expect([object.isKnown, await object.read()]).toEqual([false, 1]);
	await object.write(2);
	expect(await createObject(objectApi).read()).toEqual(2);
});
