import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {RestartSuspicion} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

test('suspects a target whose connection broke until the list must have shown a restart', () => {
	const restart = new RestartSuspicion();
	expect(restart.isSuspected(at(0))).toEqual(false);
	restart.recordBreak(at(1000));
	expect([restart.isSuspected(at(1000)), restart.isSuspected(at(10_999)), restart.isSuspected(at(11_000))]).toEqual([true, true, false]);
});

test('guards against a new process whose answers pass for signs of life of the one before', () => {
	const restart = new RestartSuspicion();
	restart.recordBreak(at(1000));
	restart.recordBytes(at(1200), at(1400));
	restart.recordBytes(at(900), at(1010));
	expect(restart.isSuspected(at(1400))).toEqual(true);
});

test('guards against suspecting a target that resets one connection and goes on with others, also where the break is heard of later', () => {
	const restart = new RestartSuspicion();
	restart.recordBreak(at(1000));
	restart.recordBytes(at(900), at(1100));
	expect(restart.isSuspected(at(1100))).toEqual(false);
	restart.recordBreak(at(1020));
	expect(restart.isSuspected(at(1100))).toEqual(false);
	restart.recordBreak(at(1090));
	expect(restart.isSuspected(at(1100))).toEqual(true);
});
