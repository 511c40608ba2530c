import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {NamedWeights} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

test('guards against a newer version that renews the time limit of the one before', () => {
	const named = new NamedWeights();
	named.note(2, 7500, at(0));
	named.note(3, 7500, at(5500));
	expect(named.allows(1, at(7400))).toEqual(true);
	expect(named.allows(1, at(7600))).toEqual(false);
	expect(named.allows(2, at(7600))).toEqual(true);
	expect(named.allows(2, at(13_100))).toEqual(false);
	expect(named.allows(3, at(60_000))).toEqual(true);
});

test('guards against going back to an older version', () => {
	const named = new NamedWeights();
	expect(named.note(3, 1000, at(0))).toEqual(true);
	expect(named.note(2, 1000, at(0))).toEqual(false);
	expect(named.version).toEqual(3);
});

test('takes answers on old weights as devalued a while after the news', () => {
	const named = new NamedWeights();
	named.note(2, 7500, at(0));
	expect(named.isDevalued(1, at(1000))).toEqual(false);
	expect(named.isDevalued(1, at(1300))).toEqual(true);
	expect(named.isDevalued(2, at(1300))).toEqual(false);
});
