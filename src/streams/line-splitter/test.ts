import {test} from 'node:test';
import {expect} from 'earl';
import {LineSplitter} from './index.js';

test('joins lines that are split between chunks, and keeps an incomplete last one back', () => {
	const splitter = new LineSplitter();
	expect(['a', 'b\nc\n', '\nd', 'e'].map(chunk => splitter.add(Buffer.from(chunk)))).toEqual([[], ['ab', 'c'], [''], []]);
});

test('guards against a line without end that takes all memory', () => {
	const splitter = new LineSplitter(5);
	expect(splitter.add(Buffer.from('abcde\nabcde\n'))).toEqual(['abcde', 'abcde']);
	splitter.add(Buffer.from('ab'));
	splitter.add(Buffer.from('cd'));
	expect(() => splitter.add(Buffer.from('ef'))).toThrow('more than 5 bytes');
});

test('guards against a character that is split between chunks', () => {
	const bytes = Buffer.from('grüße\n');
	const splitter = new LineSplitter();
	expect([splitter.add(bytes.subarray(0, 3)), splitter.add(bytes.subarray(3))]).toEqual([[], ['grüße']]);
});
