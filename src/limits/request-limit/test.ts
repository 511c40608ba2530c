import {test} from 'node:test';
import {expect} from 'earl';
import {parseRequestLimit} from './index.js';

test('parses decimal numbers, zero among them', () => {
	expect([parseRequestLimit('1.8'), parseRequestLimit(' 20 '), parseRequestLimit('0')]).toEqual([1.8, 20, 0]);
});

test('takes an absent header for no limit', () => {
	expect(parseRequestLimit(undefined)).toEqual('none');
});

test('guards against a limit that is negative, endless, empty or no number', () => {
	const texts = ['-1', 'Infinity', 'NaN', '', '1e400', '1,5', 'many', '9'.repeat(400)];
	expect(texts.map(text => parseRequestLimit(text))).toEqual(texts.map(() => 'invalid'));
});
