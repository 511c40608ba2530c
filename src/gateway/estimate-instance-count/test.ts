import {test} from 'node:test';
import {expect} from 'earl';
import {estimateInstanceCount} from './index.js';

test('guards against shares of a quota that are too large: neither registry nor members alone are believed', () => {
	expect(estimateInstanceCount(9, 3)).toEqual(9);
	expect(estimateInstanceCount(3, 9)).toEqual(9);
});

test('guards against an instance that takes itself for the only one until it has read the registry', () => {
	expect(estimateInstanceCount(0, 1)).toEqual(12);
	expect(estimateInstanceCount(0, 77)).toEqual(77);
});
