import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {countByteSteps} from '../../fixtures/count-byte-steps/index.js';
import {cutIntoPieces} from '../../fixtures/cut-into-pieces/index.js';
import {EventBuffer} from './index.js';

const events = ['id: 1\ndata: a\n\n', 'data: b\r\n\r\n', '\ndata: c\n\r\n', ': d\r\n\n'];
const maximumEventBytes = 100;

test('guards against events that are cut wrongly where a chunk ends', () => {
	const stream = `${events.join('')}data: e\r\n\r`;
	for (let chunkSize = 1; chunkSize <= stream.length; chunkSize += 1) {
		const buffer = new EventBuffer(maximumEventBytes);
		const found: string[] = [];
		for (let start = 0; start < stream.length; start += chunkSize) {
			found.push(...buffer.add(Buffer.from(stream.slice(start, start + chunkSize))).map(String));
		}

		expect(found).toEqual(events);
		expect(buffer.flush().toString()).toEqual('data: e\r\n\r');
	}
});

test('guards against an event without end that fills the memory', () => {
	const buffer = new EventBuffer(maximumEventBytes);
	buffer.add(Buffer.alloc(maximumEventBytes, 'x'));
	expect(() => buffer.add(Buffer.from('x'))).toThrow(RangeError);
});

/** Texts with many line ends, and where they are cut. */
const cutTexts = fc.record({
	text: fc.string({unit: fc.constantFrom('a', ':', '\n', '\r', '\r\n', '\n\n'), maxLength: 60}),
	pieceSizes: fc.array(fc.integer({min: 1, max: 6}), {minLength: 1}),
});

/** Cuts `text` into pieces of these sizes, in turn. */
function cutText(text: string, sizes: readonly number[]): Buffer[] {
	const pieces: Buffer[] = [];
	for (let start = 0; start < text.length; start += pieces.at(-1)!.length) {
		pieces.push(Buffer.from(text.slice(start, start + sizes[pieces.length % sizes.length]!)));
	}

	return pieces;
}

test('guards against events that depend on how the stream is cut', () => {
	fc.assert(fc.property(cutTexts, ({text, pieceSizes}) => {
		const buffer = new EventBuffer(maximumEventBytes);
		const found = cutText(text, pieceSizes).flatMap(piece => buffer.add(piece)).map(String);
		const pattern = /[^]*?\n\r?\n/gu;
		const expected: string[] = text.match(pattern) ?? [];
		expect([...found, buffer.flush().toString()]).toEqual([...expected, text.slice(expected.join('').length)]);
	}), {numRuns: 2000});
});

test('guards against work for an incomplete event that grows faster than its bytes, which holds up all other calls', () => {
	for (const pieceBytes of [64 * 1024, 1024, 64, 8, 1]) {
		const bytes = 256 * 1024;
		const buffer = new EventBuffer(2 * bytes);
		const steps = countByteSteps(() => {
			for (const piece of cutIntoPieces(Buffer.alloc(bytes, 'x'), pieceBytes)) {
				buffer.add(piece);
			}
		});
		expect(steps).toBeLessThanOrEqual(2 * bytes);
	}
});
