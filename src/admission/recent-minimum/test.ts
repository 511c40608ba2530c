import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {RecentMinimum} from './index.js';

test('guards against an old minimum that counts for ever, and against one that is forgotten at once', () => {
	const minimum = new RecentMinimum(1000);
	minimum.add(5, 100 as MonotonicMs);
	minimum.add(9, 900 as MonotonicMs);
	minimum.add(8, 1100 as MonotonicMs);
	expect([minimum.read(1200 as MonotonicMs), minimum.read(2300 as MonotonicMs), minimum.read(5000 as MonotonicMs)]).toEqual([5, 8, Infinity]);
});
