import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {BodyAssembly, calculateLargestHolding} from './index.js';

const chunkSizes = fc.array(fc.oneof(fc.integer({min: 1, max: 20}), fc.integer({min: 1, max: 5000}), fc.integer({min: 4000, max: 70_000})), {maxLength: 60});

function createChunk(bytes: number, index: number): Buffer {
	return Buffer.alloc(bytes, index % 251);
}

test('guards against bodies that change when their chunks are copied together, or that take more than twice their size', () => {
	fc.assert(fc.property(chunkSizes, sizes => {
		const chunks = sizes.map((bytes, index) => createChunk(bytes, index));
		const assembly = new BodyAssembly();
		for (const chunk of chunks) {
			assembly.append(chunk);
		}

		const body = Buffer.concat(chunks);
		expect(assembly.sizeBytes).toEqual(body.length);
		expect(assembly.heldBytes >= body.length).toEqual(true);
		expect(assembly.heldBytes <= calculateLargestHolding(body.length)).toEqual(true);
		expect(assembly.take().equals(body)).toEqual(true);
		expect(assembly.heldBytes).toEqual(0);
	}));
});

test('guards against a body of short chunks that takes many times its size', () => {
	const assembly = new BodyAssembly();
	for (let index = 0; index < 100_000; index += 1) {
		assembly.append(createChunk(8, index));
	}

	expect(assembly.heldBytes < 1.1 * 800_000).toEqual(true);
});

test('guards against copying a body that arrives as one chunk', () => {
	const assembly = new BodyAssembly();
	const chunk = createChunk(100, 1);
	assembly.append(chunk);
	expect(assembly.take() === chunk).toEqual(true);
});
