import {test} from 'node:test';
import {expect} from 'earl';
import {longestWaitMs, startStreamDirectories} from '../../fixtures/start-stream-directories/index.js';
import {RandomSource} from '../../random/random-source/index.js';

/** Time in which a record reaches its holders, in milliseconds. */
const spreadMs = 200;

test('guards against records and messages while all targets have the same software', async () => {
	const {instances, list, datagrams} = startStreamDirectories(9);
	list('v1', 'v1');
	instances[0]!.begin('r1', 'v1');
	expect(await instances[5]!.takeUp('r1')).toEqual('v1');
	expect(await instances[5]!.takeUp(undefined)).toEqual('v1');
	expect(datagrams.sent.datagrams).toEqual(0);
});

for (const count of [3, 9, 77, 195]) {
	test(`guards against a stream that another one of ${count} instances takes up at another version`, async () => {
		const random = new RandomSource(count);
		const {clock, instances, list, datagrams} = startStreamDirectories(count, () => random.pickIndex(20) === 0);
		list('v1', 'v2');
		const requests = Array.from({length: 20}, (_, index) => ({request: `r${index}`, software: index % 2 === 0 ? 'v1' : 'v2'}));
		for (const [index, {request, software}] of requests.entries()) {
			instances[index % count]!.begin(request, software);
		}

		await clock.advance(spreadMs);
		const found = await Promise.all(requests.map(async ({request}, index) => instances[(index + 7) % count]!.takeUp(request)));
		expect(found).toEqual(requests.map(({software}) => software));
		expect(datagrams.sent.datagrams <= requests.length * 4).toEqual(true);
	});
}

test('guards against a record that is lost with the instance that began the stream or one that holds it', async () => {
	const {clock, instances, list} = startStreamDirectories(9);
	list('v1', 'v2');
	instances[0]!.begin('r1', 'v2');
	await clock.advance(spreadMs);
	instances[0]!.stop();
	const holder = instances.slice(1).find(({directory}) => directory.dump().held > 0)!;
	holder.stop();
	const other = instances.slice(1).find(instance => instance !== holder && instance.directory.dump().held === 0)!;
	expect(await other.takeUp('r1')).toEqual('v2');
});

test('guards against streams that began before the second version and are taken up after it', async () => {
	const {clock, instances, list} = startStreamDirectories(9);
	list('v1');
	instances[0]!.begin('r1', 'v1');
	list('v1', 'v2');
	await clock.advance(spreadMs);
	instances[0]!.stop();
	list('v2');
	expect(await instances[4]!.takeUp('r1')).toEqual('v1');
});

test('guards against the version of a stream that follows from a list without the version that joined while the instance was out of step', async () => {
	for (const isCutOff of [false, true]) {
		const {
			clock, instances, list, listExcept, peers, objectApi,
		} = startStreamDirectories(9);
		list('v1');
		await clock.advance(longestWaitMs);
		const outOfStep = instances[8]!;
		listExcept(outOfStep, 'v1', 'v2');
		instances[0]!.begin('r1', 'v2');
		await clock.advance(spreadMs);
		if (isCutOff) {
			objectApi.setDown(true);
			for (const {id} of instances.slice(0, 8)) {
				peers.setPartitioned('i8', id, true);
			}
		}

		expect(await outOfStep.takeUp('r1')).toEqual(isCutOff ? undefined : 'v2');
		objectApi.setDown(false);
	}
});

test('guards against refusing the streams of an instance whose peers are all gone, while the object API answers', async () => {
	const {clock, instances, list} = startStreamDirectories(3);
	list('v1');
	await clock.advance(longestWaitMs);
	instances[0]!.begin('r1', 'v1');
	for (const {stop} of instances.slice(0, 2)) {
		stop();
	}

	expect(await instances[2]!.takeUp('r1')).toEqual('v1');
});

test('guards against guessing the version of a stream that nobody knows', async () => {
	const {clock, instances, list} = startStreamDirectories(9);
	list('v1', 'v2');
	expect(await instances[0]!.takeUp('unknown')).toEqual(undefined);
	expect(await instances[0]!.takeUp(undefined)).toEqual(undefined);
	list('v2');
	expect(await instances[0]!.takeUp('unknown')).toEqual(undefined);
	await clock.advance(longestWaitMs);
	expect(await instances[0]!.takeUp('unknown')).toEqual('v2');
});

test('guards against a request id used twice, whose second stream would go on at the version of the first', async () => {
	const {clock, instances, list} = startStreamDirectories(9);
	list('v1', 'v2');
	instances[0]!.begin('r1', 'v1');
	instances[1]!.begin('r1', 'v2');
	await clock.advance(spreadMs);
	expect(await instances[5]!.takeUp('r1')).toEqual(undefined);
});
