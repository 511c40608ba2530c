import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {FaultyObjectApi} from '../../fixtures/faulty-object-api/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {createPartKey, type PartKey} from '../part-key/index.js';
import {partCodec} from '../part-codec/index.js';
import {QuarantineRegister} from '../quarantine-register/index.js';
import {QuarantineRecords, type QuarantineRecord} from './index.js';

const collection = 'quarantines';
const part = createPartKey('model/1', 'a b');
const name = partCodec.formatName(part);

/** Creates an instance that keeps quarantines in the object API, with its register. */
function createInstance(clock: ManualClock, memory: MemoryObjectApi) {
	const register = new QuarantineRegister();
	const api = new FaultyObjectApi(memory, clock);
	const removed: PartKey[] = [];
	const records = new QuarantineRecords({
		codec: partCodec,
		objectApi: api, remover: api, collection, clock, logger: quietLogger, random: new RandomSource(1),
		read: key => register.read(key),
		onStored(quarantine) {
			register.add(quarantine);
		},
		onRemoved(key) {
			removed.push(key);
		},
	});
	return {
		api, register, records, removed,
		/** Quarantines the part and stores it. */
		quarantine(crashes = 4) {
			const quarantine = register.plan(part, crashes, clock.readMonotonic());
			register.add(quarantine);
			void records.store(quarantine, 0);
		},
		async refresh() {
			const {items, resourceVersion} = await memory.list(collection);
			records.replace(items, resourceVersion);
		},
	};
}

/** Creates instances with one object API. */
function createInstances(count: number) {
	const clock = new ManualClock(1_000_000);
	const memory = new MemoryObjectApi();
	return {clock, memory, instances: Array.from({length: count}, () => createInstance(clock, memory))};
}

test('guards against names that are not valid in a path, or shared by two parts', () => {
	expect(name).toEqual('a-20-b.model-2f-1');
	expect(partCodec.formatName(createPartKey('model', '1.a'))).toEqual('1-2e-a.model');
	expect(partCodec.formatName(createPartKey('model', '1-2e-a'))).toEqual('1-2d-2e-2d-a.model');
});

test('guards against a quarantine that an instance which starts later does not know', async () => {
	const {clock, memory, instances: [first, second]} = createInstances(2);
	first!.quarantine();
	await clock.advance(100);
	const {value} = await memory.get(collection, name);
	expect(value).toEqual({
		model: 'model/1', part: 'a b', crashes: 4, until: 1_600_000, durationMs: 600_000,
	});
	await clock.advance(200_000);
	await second!.refresh();
	expect(second!.register.findActive([part], clock.readMonotonic())?.endsAt).toEqual(1_600_000 as MonotonicMs);
});

test('guards against a quarantine that is not stored because the object API fails or its answer is lost', async () => {
	const {clock, memory, instances: [first]} = createInstances(1);
	first!.api.isCut = true;
	first!.quarantine();
	await clock.advance(10_000);
	first!.api.isCut = false;
	first!.api.losesAnswer = () => true;
	await clock.advance(3000);
	first!.api.losesAnswer = undefined;
	await clock.advance(3000);
	const writes = first!.api.writes.length;
	const {items} = await memory.list(collection);
	expect(items.map(item => item.name)).toEqual([name]);
	await clock.advance(10_000);
	expect(first!.api.writes.length).toEqual(writes);
});

test('keeps the later end when two instances store a quarantine of the same part', async () => {
	const {clock, memory, instances: [first, second]} = createInstances(2);
	first!.quarantine();
	await clock.advance(30_000);
	second!.quarantine(9);
	await clock.advance(1000);
	const {value} = await memory.get<QuarantineRecord>(collection, name);
	expect(value.until).toEqual(1_630_000);
	await first!.refresh();
	expect(first!.register.read(part)?.crashes).toEqual(9);
});

test('guards against a large fleet that writes one quarantine hundreds of times', async () => {
	const {clock, instances} = createInstances(50);
	instances[0]!.quarantine();
	await clock.advance(100);
	for (const instance of instances.slice(1)) {
		await instance.refresh();
		void instance.records.store(instance.register.read(part)!, 2000);
	}

	await clock.advance(5000);
	expect(instances.map(instance => instance.api.writes.length).reduce((sum, count) => sum + count)).toEqual(1);
});

test('guards against an object that is left behind by a quarantine that was lifted while it was written', async () => {
	const {clock, memory, instances: [first]} = createInstances(1);
	first!.api.delayMs = 500;
	first!.quarantine();
	await clock.advance(200);
	first!.register.lift(part);
	await clock.advance(2000);
	const {items} = await memory.list(collection);
	expect(items).toEqual([]);
});

test('tells when an operator deletes the object, and ignores objects of other writers that are not valid', async () => {
	const {clock, memory, instances: [first]} = createInstances(1);
	await memory.create(collection, 'other', {model: 5});
	await memory.create(collection, 'another', null);
	await memory.create(collection, 'unpaired', {
		model: 'm', part: '\uD800', crashes: 1, until: 1, durationMs: 1,
	});
	first!.quarantine();
	await clock.advance(100);
	await first!.refresh();
	expect(first!.register.list().length).toEqual(1);
	await memory.remove(collection, name);
	await memory.remove(collection, 'other');
	await first!.refresh();
	expect(first!.removed).toEqual([part]);
});

test('guards against a quarantine without end after the wall clock of its writer was wrong', async () => {
	const {clock, memory, instances: [first]} = createInstances(1);
	await memory.create(collection, name, {
		model: 'model/1', part: 'a b', crashes: 4, until: 9_999_999_999, durationMs: 600_000,
	});
	await first!.refresh();
	expect(first!.register.read(part)?.endsAt).toEqual(clock.readMonotonic() + 600_000 as MonotonicMs);
});

test('guards against a quarantine that ends because the object API was restored from a copy without it', async () => {
	const {clock, memory, instances: [first]} = createInstances(1);
	const copy = memory.copy();
	first!.quarantine();
	await clock.advance(100);
	await first!.refresh();
	memory.restore(copy);
	await first!.refresh();
	expect(first!.removed).toEqual([]);
	await clock.advance(2500);
	const {items} = await memory.list(collection);
	expect(items.map(object => object.name)).toEqual([name]);
});
