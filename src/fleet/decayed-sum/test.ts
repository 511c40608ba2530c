import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {DecayedSum} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

test('guards against old parts that count as much as new ones', () => {
	const sum = new DecayedSum(1000);
	sum.add(8, at(0));
	sum.add(2, at(1000));
	expect(sum.read(at(1000))).toEqual(6);
	expect(sum.read(at(2000))).toEqual(3);
	expect(sum.take(at(2000))).toEqual(3);
	expect(sum.read(at(2000))).toEqual(0);
});

test('estimates a steady rate', () => {
	const sum = new DecayedSum(1000);
	for (let ms = 0; ms < 20_000; ms += 100) {
		sum.add(1, at(ms));
	}

	const perSecond = sum.readPerSecond(at(20_000));
	expect(perSecond > 9 && perSecond < 11).toEqual(true);
});
