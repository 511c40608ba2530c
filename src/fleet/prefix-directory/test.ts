import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {formatPrefixKey, PrefixDirectory} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const a = 'a' as TargetId;
const b = 'b' as TargetId;

test('lists holders by their latest use and forgets unused ones', () => {
	const directory = new PrefixDirectory();
	directory.noteUse('p', a, at(0));
	directory.noteUse('p', b, at(5000));
	expect(directory.listHolders('p', at(6000))).toEqual([b, a]);
	expect(directory.listHolders('p', at(13_000))).toEqual([b]);
	expect(directory.listHolders('q', at(6000))).toEqual([]);
});

test('tells only own uses to other instances, each once', () => {
	const directory = new PrefixDirectory();
	directory.noteUse('p', a, at(0));
	directory.noteOwnUse('q', b, at(0));
	expect(directory.takeUntold()).toEqual([['q', b]]);
	expect(directory.takeUntold()).toEqual([]);
});

test('guards against one prefix id standing for two name spaces', () => {
	expect(formatPrefixKey('org/1', 'p') === formatPrefixKey('org/2', 'p')).toEqual(false);
});
