import {test} from 'node:test';
import {expect} from 'earl';
import type {InstanceId} from '../../identity/ids/index.js';
import {listWatchers} from './index.js';

const createIds = (count: number) => Array.from({length: count}, (_, index) => `i${index}` as InstanceId);

test('all instances of a small fleet watch', () => {
	expect(listWatchers(createIds(9)).length).toEqual(9);
});

test('guards against object API calls that grow with the fleet', () => {
	expect(listWatchers(createIds(72)).length).toEqual(3);
	expect(listWatchers(createIds(350)).length).toEqual(11);
});

test('all instances list the same watchers, in whatever order they know each other', () => {
	expect(listWatchers(createIds(40).toReversed())).toEqual(listWatchers(createIds(40)));
});

test('guards against a fleet in which no watcher can reach the object API: additional instances watch, a few at a time', () => {
	const ids = createIds(72);
	const countWatching = (staleMs: number) => ids.filter(id => listWatchers(ids, staleMs).includes(id)).length;
	expect(countWatching(1500)).toEqual(3);
	expect(countWatching(1600)).toEqual(6);
	expect(countWatching(3100)).toEqual(9);
	expect(countWatching(60_000)).toEqual(12);
});

test('guards against additional watchers that are known to have failed, and against a delay once all regular ones have', () => {
	const ids = createIds(72);
	const regular = listWatchers(ids);
	const firstAdditional = listWatchers(ids, 1600).slice(3);
	const failed = new Set([...regular, ...firstAdditional]);
	const listAdditional = (staleMs: number, failures: ReadonlySet<InstanceId>) => listWatchers(ids, staleMs, id => failures.has(id)).slice(3);
	expect(listAdditional(0, new Set(regular))).toEqual(firstAdditional);
	expect(listAdditional(0, new Set(regular.slice(1)))).toEqual([]);
	expect(listAdditional(0, failed).length).toEqual(3);
	expect(listAdditional(1600, failed).filter(id => failed.has(id))).toEqual([]);
	expect(listAdditional(60_000, failed).length).toEqual(9);
});
