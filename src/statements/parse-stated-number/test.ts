import {test} from 'node:test';
import {expect} from 'earl';
import {parseStatedNumber} from './index.js';

test('parses decimal numbers, zero among them', () => {
	expect([parseStatedNumber('1.8'), parseStatedNumber(' 20 '), parseStatedNumber('0')]).toEqual([1.8, 20, 0]);
});

test('takes an absent header for no statement', () => {
	expect(parseStatedNumber(undefined)).toEqual('none');
});

test('guards against a number that is negative, endless, empty or no number', () => {
	const texts = ['-1', 'Infinity', 'NaN', '', '1e400', '1,5', 'many', '9'.repeat(400)];
	expect(texts.map(text => parseStatedNumber(text))).toEqual(texts.map(() => 'invalid'));
});
