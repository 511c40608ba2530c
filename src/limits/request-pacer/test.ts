import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {RequestPacer} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

test('starts empty and allows the rate', () => {
	const pacer = new RequestPacer(2, at(0));
	expect([0, 499, 500, 999, 1000].map(ms => pacer.take(1, at(ms)))).toEqual([0, 0, 1, 0, 1]);
	expect(pacer.calculateWaitMs(2, at(1000))).toEqual(1000);
});

test('guards against a burst after a pause', () => {
	const slow = new RequestPacer(2, at(0));
	expect(slow.take(10, at(60_000))).toEqual(1);
	const fast = new RequestPacer(40, at(0));
	expect(fast.take(100, at(60_000))).toEqual(10);
});

test('guards against requests saved up at an earlier, higher rate', () => {
	const pacer = new RequestPacer(40, at(0));
	pacer.setRate(2, at(10_000));
	expect(pacer.take(10, at(10_000))).toEqual(1);
});

test('guards against a wait too short to change the time', () => {
	const pacer = new RequestPacer(3, at(0));
	const wait = pacer.calculateWaitMs(1, at(333.333_333_3));
	expect(wait === 0 || wait >= 1).toEqual(true);
});
