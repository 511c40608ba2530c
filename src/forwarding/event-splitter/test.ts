import {test} from 'node:test';
import {expect} from 'earl';
import {ContinuationError, EventSplitter} from './index.js';

const add = (splitter: EventSplitter, text: string) => splitter.add(Buffer.from(text), false).bytes.toString();

test('returns only complete events, however the stream is split into chunks', () => {
	const splitter = new EventSplitter(undefined);
	expect(add(splitter, 'id: 1\nda')).toEqual('');
	expect(add(splitter, 'ta: a\n\nid: 2\ndata: b\n')).toEqual('id: 1\ndata: a\n\n');
	expect(add(splitter, '\n')).toEqual('id: 2\ndata: b\n\n');
});

test('guards against a truncated or duplicate event where another target continues the stream', () => {
	const interrupted = new EventSplitter(undefined);
	add(interrupted, 'id: 1\ndata: a\n\nid: 2\nda');
	const splitter = new EventSplitter(interrupted.lastEventId);
	expect(add(splitter, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n')).toEqual('id: 2\ndata: b\n\n');
});

test('keeps fields before the id, such as a version', () => {
	const splitter = new EventSplitter('4');
	expect(add(splitter, 'x-version: 3\nid: 5\ndata: c\n\n')).toEqual('x-version: 3\nid: 5\ndata: c\n\n');
	expect(splitter.lastEventId).toEqual('5');
});

test('returns what follows the last complete event of a complete response', () => {
	const splitter = new EventSplitter(undefined);
	add(splitter, 'id: 1\ndata: a\n\n: end');
	expect(splitter.flush().toString()).toEqual(': end');
});

test('guards against events with carriage returns that are held back until the stream ends', () => {
	const splitter = new EventSplitter(undefined);
	expect(add(splitter, 'id: 1\r\ndata: a\r\n\r')).toEqual('');
	expect(add(splitter, '\nid: 2\r\nda')).toEqual('id: 1\r\ndata: a\r\n\r\n');
	expect(splitter.add(Buffer.from('ta: b\n\r\n'), false)).toEqual({
		bytes: Buffer.from('id: 2\r\ndata: b\n\r\n'), hasProgress: true, hasContent: true, endsWithId: true,
	});
	expect(splitter.lastEventId).toEqual('2');
});

/** Creates a splitter that has passed on two events of a first target, and continues with a second one. */
function continueStream(...chunks: readonly string[]): string {
	const interrupted = new EventSplitter(undefined);
	add(interrupted, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda');
	const splitter = new EventSplitter(interrupted.lastEventId);
	return chunks.map(chunk => splitter.add(Buffer.from(chunk), true).bytes.toString()).join('');
}

test('guards against text, a whole HTTP head or events without an id in the middle of a stream that a second target continues', () => {
	const pieces = ['an error text\n\n', 'HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\n', 'data: c\n\n', 'id: x\ndata: c\n\n'];
	for (const piece of pieces) {
		expect(() => continueStream(piece)).toThrow(ContinuationError);
		expect(() => continueStream(`id: 3\ndata: c\n\n${piece}`)).toThrow(ContinuationError);
	}
});

test('passes on the events, comments and blank lines of a sound continuation, and drops events that the caller has', () => {
	expect(continueStream('id: 2\ndata: b\n\n: comment\n\nid: 3\ndata: c\n\n', '\n\nid: 5\ndata: d\n\n')).toEqual(': comment\n\nid: 3\ndata: c\n\n\n\nid: 5\ndata: d\n\n');
});

test('guards against taking an event that the caller has, or a comment, for the next event', () => {
	const splitter = new EventSplitter('2');
	const read = (text: string) => {
		const {hasProgress, hasContent} = splitter.add(Buffer.from(text), true);
		return {hasProgress, hasContent};
	};

	expect(read('id: 2\ndata: b\n\n')).toEqual({hasProgress: true, hasContent: false});
	expect(read(': comment\n\n')).toEqual({hasProgress: false, hasContent: false});
	expect(read('id: 3\ndata: c\n\n')).toEqual({hasProgress: true, hasContent: true});
});
