import {test} from 'node:test';
import {expect} from 'earl';
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
