import {test} from 'node:test';
import {expect} from 'earl';
import {EventSplitter} from './index.js';

const add = (splitter: EventSplitter, text: string) => splitter.add(Buffer.from(text)).bytes.toString();

test('returns only complete events, however the stream is split into chunks', () => {
	const splitter = new EventSplitter(undefined);
	expect(add(splitter, 'id: 1\nda')).toEqual('');
	expect(add(splitter, 'ta: a\n\nid: 2\ndata: b\n')).toEqual('id: 1\ndata: a\n\n');
	expect(add(splitter, '\n')).toEqual('id: 2\ndata: b\n\n');
});

test('guards against a truncated or duplicate event where another target continues the stream', () => {
	const splitter = new EventSplitter(undefined);
	add(splitter, 'id: 1\ndata: a\n\nid: 2\nda');
	splitter.discardPending();
	expect(add(splitter, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n')).toEqual('id: 2\ndata: b\n\n');
});

test('keeps fields before the id, such as a version', () => {
	const splitter = new EventSplitter('4');
	expect(add(splitter, 'x-version: 3\nid: 5\ndata: c\n\n')).toEqual('x-version: 3\nid: 5\ndata: c\n\n');
	expect(splitter.add(Buffer.from('')).lastEventId).toEqual('5');
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
	expect(splitter.add(Buffer.from('ta: b\n\r\n'))).toEqual({bytes: Buffer.from('id: 2\r\ndata: b\n\r\n'), lastEventId: '2', hasProgress: true});
});
