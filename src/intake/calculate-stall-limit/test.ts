import {test} from 'node:test';
import {expect} from 'earl';
import {calculateStallLimit} from './index.js';

test('shortens the limit as more memory is held', () => {
	expect(calculateStallLimit(10_000, 0, 1000)).toEqual(10_000);
	expect(calculateStallLimit(10_000, 500, 1000)).toEqual(5000);
});

test('guards against giving up callers that repeat a lost packet', () => {
	expect(calculateStallLimit(10_000, 1000, 1000)).toEqual(1000);
	expect(calculateStallLimit(10_000, 5000, 1000)).toEqual(1000);
});

test('keeps a limit below the shortest one', () => {
	expect(calculateStallLimit(200, 1000, 1000)).toEqual(200);
});
