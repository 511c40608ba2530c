import {test} from 'node:test';
import {expect} from 'earl';
import {
	calculateUpperBoundMs, countFrom, countValues, findBucket, findQuantile,
} from './index.js';

function createHistogram(durationsMs: readonly number[]): Map<number, number> {
	const histogram = new Map<number, number>();
	for (const ms of durationsMs) {
		histogram.set(findBucket(ms), (histogram.get(findBucket(ms)) ?? 0) + 1);
	}

	return histogram;
}

test('guards against a duration outside its bucket', () => {
	for (const ms of [0, 1, 3.9, 4, 5, 43, 515, 4000, 30_000]) {
		const bucket = findBucket(ms);
		expect(ms < calculateUpperBoundMs(bucket)).toEqual(true);
		expect(bucket === 0 || ms >= calculateUpperBoundMs(bucket - 1)).toEqual(true);
	}

	expect(findBucket(10 ** 9)).toEqual(55);
});

test('finds quantiles and counts what lies above a bucket', () => {
	const histogram = createHistogram([10, 10, 10, 100]);
	expect(countValues(histogram)).toEqual(4);
	expect(findQuantile(histogram, 0.5)).toEqual(findBucket(10));
	expect(findQuantile(histogram, 0.99)).toEqual(findBucket(100));
	expect(countFrom(histogram, findBucket(50))).toEqual(1);
	expect(findQuantile(new Map(), 0.5)).toEqual(undefined);
});
