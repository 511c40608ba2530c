import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {DecayedRate} from './index.js';

test('guards against a rate that does not follow the load', () => {
	const rate = new DecayedRate();
	for (let now = 0; now <= 5000; now += 10) {
		rate.add(20, now as MonotonicMs);
	}

	expect(Math.abs(rate.read(5000 as MonotonicMs) - 2) < 0.05).toEqual(true);
	expect(rate.read(8000 as MonotonicMs) < 0.2).toEqual(true);
	expect(new DecayedRate().read(0 as MonotonicMs)).toEqual(0);
});
