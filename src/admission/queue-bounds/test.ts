import {test} from 'node:test';
import {expect} from 'earl';
import {QueueBounds} from './index.js';

test('guards against queues that hold more calls or bytes than allowed', () => {
	const bounds = new QueueBounds(() => ({
		maximumCalls: 3, maximumBytes: 100_000, longestWaitMs: 1, goalFraction: 0,
	}));
	bounds.add(50_000);
	expect([bounds.allows(10_000), bounds.allows(40_000)]).toEqual([true, false]);
	bounds.add(0);
	bounds.add(0);
	expect(bounds.allows(0)).toEqual(false);
	expect([bounds.fits(90_000), bounds.fits(100_000)]).toEqual([true, false]);
	bounds.remove(50_000);
	expect(bounds.allows(40_000)).toEqual(true);
});
