import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {TargetPause} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const callSentAt = (ms: number) => ({sentAt: at(ms)});

test('guards against a request within the pause, and against a later, shorter pause that ends an earlier one', () => {
	const pause = new TargetPause();
	expect(pause.allows([], at(0))).toEqual(true);
	expect(pause.recordStated(at(1000), at(0))).toEqual(true);
	expect(pause.recordStated(at(500), at(10))).toEqual(false);
	expect([pause.allows([], at(999)), pause.allows([], at(1000))]).toEqual([false, true]);
});

test('guards against all waiting calls at the target in the moment in which its pause ends', () => {
	const pause = new TargetPause();
	pause.recordStated(at(1000), at(0));
	expect(pause.allows([callSentAt(900)], at(1000))).toEqual(true);
	expect(pause.allows([callSentAt(900), callSentAt(1000)], at(1001))).toEqual(false);
	expect([pause.recordServed(at(900)), pause.recordServed(at(1000)), pause.recordServed(at(1000))]).toEqual([false, true, false]);
	expect(pause.allows([callSentAt(1000), callSentAt(1001)], at(1002))).toEqual(true);
});

test('guards against a stream of refused calls after a pause', () => {
	const pause = new TargetPause();
	pause.recordStated(at(1000), at(0));
	pause.recordRefused(at(900), at(1001));
	expect(pause.allows([], at(1001))).toEqual(true);
	pause.recordRefused(at(1001), at(1002));
	expect([pause.allows([], at(1050)), pause.allows([], at(1102))]).toEqual([false, true]);
});

test('guards against a pause of a target that states none when it refuses', () => {
	const pause = new TargetPause();
	pause.recordRefused(at(0), at(1));
	expect(pause.allows([callSentAt(0)], at(2))).toEqual(true);
});
