import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {formatPrefixKey, PrefixDirectory} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const a = 'a' as TargetId;
const b = 'b' as TargetId;

test('lists holders by their most recent use and drops unused ones', () => {
	const directory = new PrefixDirectory();
	directory.recordUse('p', a, at(0));
	directory.recordUse('p', b, at(5000));
	expect(directory.listHolders('p', at(6000))).toEqual([b, a]);
	expect(directory.listHolders('p', at(13_000))).toEqual([b]);
	expect(directory.listHolders('q', at(6000))).toEqual([]);
});

test('lists only own uses, from the first that has not been reported', () => {
	const directory = new PrefixDirectory();
	directory.recordUse('p', a, at(0));
	directory.recordOwnUse('q', b, at(0));
	const nextNumber = directory.nextOwnUseNumber;
	directory.recordOwnUse('r', a, at(0));
	expect(directory.listOwnUses(0, 10)).toEqual([['q', b], ['r', a]]);
	expect(directory.listOwnUses(nextNumber, 10)).toEqual([['r', a]]);
	expect(directory.listOwnUses(directory.nextOwnUseNumber, 10)).toEqual([]);
});

test('guards against unbounded growth of own uses, and keeps sequence numbers when old ones are dropped', () => {
	const directory = new PrefixDirectory();
	for (let index = 0; index < 1000; index += 1) {
		directory.recordOwnUse(`p${index}`, a, at(0));
	}

	expect(directory.nextOwnUseNumber).toEqual(1000);
	expect(directory.listOwnUses(998, 10).map(([prefix]) => prefix)).toEqual(['p998', 'p999']);
	expect(directory.listOwnUses(0, 2000).length <= 400).toEqual(true);
});

test('guards against equal keys for one prefix id in two namespaces', () => {
	expect(formatPrefixKey('org/1', 'p') === formatPrefixKey('org/2', 'p')).toEqual(false);
});

test('guards against a prefix that still counts as hot when its uses have stopped', () => {
	const directory = new PrefixDirectory();
	for (let ms = 0; ms < 20_000; ms += 50) {
		directory.recordUse('hot', a, at(ms));
	}

	const perSecond = directory.readUsesPerSecond('hot', at(20_000));
	expect(perSecond > 18 && perSecond < 22).toEqual(true);
	expect(directory.readUsesPerSecond('hot', at(35_000)) < 1).toEqual(true);
	expect(directory.readUsesPerSecond('unknown', at(0))).toEqual(0);
});
