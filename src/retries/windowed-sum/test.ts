import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {WindowedSum} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

test('guards against counting what is older than the window, or forgetting what is not', () => {
	const sum = new WindowedSum(10_000);
	sum.add(3, at(1200));
	sum.add(2, at(6000));
	expect([sum.sumWithin(at(10_900)), sum.sumCovering(at(11_100))]).toEqual([5, 5]);
	expect([sum.sumWithin(at(11_300)), sum.sumCovering(at(11_600))]).toEqual([2, 2]);
	expect([sum.sumWithin(at(40_000)), sum.sumCovering(at(40_000))]).toEqual([0, 0]);
});

test('guards against an amount that is left out of both sums at the edge of the window', () => {
	for (let addedAt = 0; addedAt < 1000; addedAt += 37) {
		const sum = new WindowedSum(10_000);
		sum.add(1, at(addedAt));
		expect([sum.sumCovering(at(addedAt + 9999)), sum.sumWithin(at(addedAt + 10_000))]).toEqual([1, 0]);
	}
});
