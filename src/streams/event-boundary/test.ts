import {test} from 'node:test';
import {expect} from 'earl';
import {EventBoundary} from './index.js';

function isReachedAfter(chunks: readonly string[]): boolean {
	const boundary = new EventBoundary();
	for (const chunk of chunks) {
		boundary.add(Buffer.from(chunk));
	}

	return boundary.isReached;
}

test('guards against a whole stream that is taken for a broken one', () => {
	for (const stream of ['', 'data: a\n\n', 'data: a\r\n\r\n', 'data: a\n\r\n', 'data: a\n\n\n', ': comment\n\n', '\n', '\r\n']) {
		expect(isReachedAfter([stream])).toEqual(true);
		expect(isReachedAfter([...stream])).toEqual(true);
	}
});

test('guards against a stream that ends inside an event and is taken for a whole one', () => {
	for (const stream of ['data: a', 'data: a\n', 'data: a\r\n', 'data: a\r\n\r', 'data: a\n\ndata: b\n', 'data: a\n\n\nd']) {
		expect(isReachedAfter([stream])).toEqual(false);
		expect(isReachedAfter([...stream])).toEqual(false);
	}
});
