import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {FaultyObjectApi} from '../../fixtures/faulty-object-api/index.js';
import type {ResourceVersion} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {MemoryObjectApi} from '../memory-object-api/index.js';
import {CollectionMirror} from './index.js';

/** Starts a mirror of the collection `c`, which runs until `stop` is called. */
async function startMirror(relistsAfterFault: boolean) {
	const clock = new ManualClock();
	const memory = new MemoryObjectApi();
	await memory.create('c', 'one', 1);
	const api = new FaultyObjectApi(memory, clock);
	const controller = new AbortController();
	const mirror = new CollectionMirror<number>({
		objectApi: api, collection: 'c', clock, logger: quietLogger, random: new RandomSource(1), shouldRelistAfterFailure: relistsAfterFault,
		onChange() {
			// The tests read `objects` instead.
		},
	});
	void mirror.run(controller.signal);
	await clock.advance(10);
	return {
		clock, memory, api, mirror,
		stop() {
			controller.abort();
		},
	};
}

test('guards against a watch that continues without the changes dropped during an outage', async () => {
	const {clock, memory, api, mirror, stop} = await startMirror(true);
	const {readCount: initialReadCount} = api;
	memory.setDown(true);
	await clock.advance(100);
	memory.setDown(false);
	await clock.advance(1000);
	expect(api.readCount > initialReadCount).toEqual(true);
	expect(mirror.objects.size).toEqual(1);
	stop();
});

test('guards against a mirror that still counts as broken after the collection was listed again', async () => {
	const {clock, memory, mirror, stop} = await startMirror(true);
	expect(mirror.isBroken).toEqual(false);
	memory.setDown(true);
	await clock.advance(100);
	expect(mirror.isBroken).toEqual(true);
	memory.setDown(false);
	await clock.advance(500);
	expect(mirror.isBroken).toEqual(false);
	stop();
});

test('applies a newer copy from another instance and continues from its version', async () => {
	const {clock, memory, api, mirror, stop} = await startMirror(true);
	api.isCut = true;
	const list = await memory.list<number>('c');
	mirror.applyUpdate({
		collection: 'c', version: '7', isComplete: true, removed: [], objects: [...list.items, {...list.items[0]!, name: 'two', value: 2}],
	});
	await clock.advance(10);
	expect(mirror.objects.size).toEqual(2);
	expect(mirror.readVersion() as string).toEqual('7');
	stop();
});

test('guards against updates of older copies that contain more than what changed', async () => {
	const {clock, memory, mirror, stop} = await startMirror(true);
	await memory.create('c', 'two', 2);
	await clock.advance(50);
	const since = mirror.readVersion()!;
	expect(mirror.readUpdate(since)).toEqual(undefined);
	await memory.create('c', 'three', 3);
	await memory.remove('c', 'two');
	await clock.advance(50);
	const update = mirror.readUpdate(since)!;
	expect(update.objects.map(({name}) => name)).toEqual(['three']);
	expect(update.removed).toEqual(['two']);
	expect(update.isComplete).toEqual(false);
	expect(mirror.readUpdate(undefined)!.objects.length).toEqual(2);
	stop();
});

test('guards against removed objects that remain in other copies after the mirror listed the collection again', async () => {
	const {clock, memory, mirror, stop} = await startMirror(true);
	const since = mirror.readVersion()!;
	memory.setDown(true);
	await clock.advance(100);
	memory.faults.isDown = false;
	await memory.remove('c', 'one');
	await clock.advance(2000);
	expect(mirror.readUpdate(since)!.removed).toEqual(['one']);
	stop();
});
