import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {measureHeap} from '../../capacity/measure-heap/index.js';
import {cutIntoPieces} from '../../fixtures/cut-into-pieces/index.js';
import {enableGarbageCollection} from '../../fixtures/enable-garbage-collection/index.js';
import type {ResponseHead} from '../../forwarding/call-types/index.js';
import {PlainAnswer} from '../../forwarding/plain-answer/index.js';
import {CollectingSink} from '../../gateway/collecting-sink/index.js';
import {readText} from '../../http/read-text/index.js';
import {LineSplitter} from '../line-splitter/index.js';
import {ByteCollector, calculateLargestHolding} from './index.js';

const chunkSizes = fc.array(fc.oneof(fc.integer({min: 1, max: 20}), fc.integer({min: 1, max: 5000}), fc.integer({min: 4000, max: 70_000})), {maxLength: 60});

function createChunk(bytes: number, index: number): Buffer {
	return Buffer.alloc(bytes, index % 251);
}

test('guards against bytes that change when their chunks are copied together, or that take more than twice their length', () => {
	fc.assert(fc.property(chunkSizes, sizes => {
		const chunks = sizes.map((bytes, index) => createChunk(bytes, index));
		const collector = new ByteCollector();
		for (const chunk of chunks) {
			collector.add(chunk);
		}

		const body = Buffer.concat(chunks);
		expect(collector.sizeBytes).toEqual(body.length);
		expect(collector.heldBytes >= body.length).toEqual(true);
		expect(collector.heldBytes <= calculateLargestHolding(body.length)).toEqual(true);
		expect(collector.take().equals(body)).toEqual(true);
		expect(collector.heldBytes).toEqual(0);
	}));
});

test('guards against short chunks that take many times their length', () => {
	const collector = new ByteCollector();
	for (let index = 0; index < 100_000; index += 1) {
		collector.add(createChunk(8, index));
	}

	expect(collector.heldBytes < 1.1 * 800_000).toEqual(true);
});

test('guards against copying what arrives as one chunk', () => {
	const collector = new ByteCollector();
	const chunk = createChunk(100, 1);
	collector.add(chunk);
	expect(collector.take() === chunk).toEqual(true);
});

test('guards against bytes that are lost, doubled or out of order between takes', () => {
	const collector = new ByteCollector();
	const take = () => collector.take().toString();
	expect([take(), collector.sizeBytes]).toEqual(['', 0]);
	collector.add(Buffer.from('a'));
	expect([collector.sizeBytes, take(), collector.sizeBytes]).toEqual([1, 'a', 0]);
	for (const text of ['b', '', 'c']) {
		collector.add(Buffer.from(text));
	}

	expect([collector.sizeBytes, take(), take()]).toEqual([2, 'bc', '']);
});

const input = Buffer.alloc(256 * 1024, 'x');
/** Memory that a reader may take beside twice the bytes that it holds. */
const fixedBytes = 128 * 1024;

/** What holds bytes that are added to it. */
type Holder = {add(piece: Buffer): unknown};

function holdBy(holder: Holder, pieces: Iterable<Buffer>): Holder {
	for (const piece of pieces) {
		holder.add(piece);
	}

	return holder;
}

/** Reads a body that ends only when the controller aborts. */
async function holdAsText(pieces: Iterable<Buffer>): Promise<{readonly text: Promise<string>; readonly end: AbortController}> {
	const lastRead = new AbortController();
	const end = new AbortController();
	async function * sendPieces(): AsyncGenerator<Buffer> {
		for (const piece of pieces) {
			yield piece;
		}

		lastRead.abort();
		await once(end.signal, 'abort');
	}

	const text = readText(sendPieces(), 2 * input.length);
	await once(lastRead.signal, 'abort');
	return {text, end};
}

function createHeldAnswer(): PlainAnswer {
	const head: Partial<ResponseHead> = {};
	return new PlainAnswer({
		head: head as ResponseHead, isHeld: true, isEventStream: false, isFallback: false,
	});
}

function createCollectingSink(): Holder {
	const response: Partial<ServerResponse> = {destroyed: false};
	const sink = new CollectingSink(response as ServerResponse);
	sink.begin(200, []);
	return {add: piece => sink.write(piece)};
}

const readers: ReadonlyArray<{readonly name: string; readonly hold: (pieces: Iterable<Buffer>) => unknown}> = [
	{name: 'bytes', hold: pieces => holdBy(new ByteCollector(), pieces)},
	{name: 'an answer that is held until it is whole', hold: pieces => holdBy(createHeldAnswer(), pieces)},
	{name: 'an answer to a caller of HTTP/1.0', hold: pieces => holdBy(createCollectingSink(), pieces)},
	{name: 'a line', hold: pieces => holdBy(new LineSplitter(), pieces)},
];

/** Yields pieces, and adds a weak reference to each of them to `references`. */
function * watchPieces(pieces: Iterable<Buffer>, references: Array<WeakRef<Buffer>>): Generator<Buffer> {
	for (const piece of pieces) {
		references.push(new WeakRef(piece));
		yield piece;
	}
}

/** Measures several times: compiled code and buffers that are not swept yet count as well, but not each time. */
async function measureLeastHeap(hold: () => unknown): Promise<number> {
	const measured: number[] = [];
	for (let round = 0; round < 3; round += 1) {
		measured.push(await measureHeap(hold));
	}

	return Math.min(...measured);
}

for (const {name, hold} of readers) {
	test(`guards against running out of memory by short pieces of ${name}`, async () => {
		enableGarbageCollection();
		for (const pieceBytes of [64 * 1024, 1024, 64, 8, 1]) {
			const heldBytes = await measureLeastHeap(() => hold(cutIntoPieces(input, pieceBytes)));
			expect(heldBytes).toBeLessThanOrEqual((2 * input.length) + fixedBytes);
		}
	});
}

// The heap can't be measured here: the test runner keeps a record of each promise.
test('guards against running out of memory by short pieces of a text', async () => {
	enableGarbageCollection();
	const references: Array<WeakRef<Buffer>> = [];
	const {text, end} = await holdAsText(watchPieces(cutIntoPieces(input, 64), references));
	await nextTurn();
	globalThis.gc!();
	await nextTurn();
	const keptPieces = references.filter(reference => reference.deref() !== undefined).length;
	expect([references.length, keptPieces < 16]).toEqual([input.length / 64, true]);
	end.abort();
	const {length} = await text;
	expect(length).toEqual(input.length);
});
