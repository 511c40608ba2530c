import {test} from 'node:test';
import {expect} from 'earl';
import {fitLine} from './index.js';

test('recovers slope and intercept of points on a line', () => {
	const line = fitLine([{size: 1, value: 5}, {size: 2, value: 7}, {size: 10, value: 23}]);
	expect(Math.abs(line.slope - 2) < 1e-9).toEqual(true);
	expect(Math.abs(line.intercept - 3) < 1e-9).toEqual(true);
	expect(line.determination > 0.999_999).toEqual(true);
});

test('guards against reporting a poor fit as a good one', () => {
	const line = fitLine([{size: 1, value: 0}, {size: 2, value: 9}, {size: 3, value: 1}, {size: 4, value: 8}]);
	expect(line.determination < 0.5).toEqual(true);
});
