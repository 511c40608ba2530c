import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {StatedNumber} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

test('takes over a limit, its changes and its end', () => {
	const limit = new StatedNumber();
	expect(limit.recordStated(1.8, at(100))).toEqual(true);
	expect(limit.recordStated(1.8, at(200))).toEqual(false);
	expect(limit.recordStated(2.5, at(300))).toEqual(true);
	expect(limit.read()).toEqual(2.5);
	expect(limit.recordAbsent(at(301))).toEqual(true);
	expect(limit.read()).toEqual(undefined);
});

test('guards against an answer to an earlier call that ends a limit', () => {
	const limit = new StatedNumber();
	limit.recordStated(1.8, at(100));
	expect(limit.recordAbsent(at(99))).toEqual(false);
	expect(limit.read()).toEqual(1.8);
});

test('guards against late news that bring an ended limit back', () => {
	const limit = new StatedNumber();
	limit.recordStated(1.8, at(100));
	limit.recordAbsent(at(200));
	expect(limit.recordStated(1.8, at(150))).toEqual(false);
	expect(limit.read()).toEqual(undefined);
});
