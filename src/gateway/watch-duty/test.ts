import {test} from 'node:test';
import {expect} from 'earl';
import type {InstanceId} from '../../identity/ids/index.js';
import {hasWatchDuty, listWatchers} from './index.js';

const createIds = (count: number) => Array.from({length: count}, (_, index) => `i${index}` as InstanceId);

test('all instances of a small fleet watch', () => {
	expect(listWatchers(createIds(9)).length).toEqual(9);
});

test('guards against calls of the object API that grow with the fleet', () => {
	expect(listWatchers(createIds(72)).length).toEqual(3);
	expect(listWatchers(createIds(350)).length).toEqual(11);
});

test('all instances arrive at the same watchers, whatever the order in which they know each other', () => {
	expect(listWatchers(createIds(40).toReversed())).toEqual(listWatchers(createIds(40)));
});

test('guards against a fleet whose watchers are all turned away: further ones begin, a few at a time', () => {
	const ids = createIds(72);
	const countWatching = (staleMs: number) => ids.filter(id => hasWatchDuty(id, ids, staleMs)).length;
	expect(countWatching(4000)).toEqual(3);
	expect(countWatching(4500)).toEqual(6);
	expect(countWatching(6500)).toEqual(9);
});
