import {test} from 'node:test';
import {expect} from 'earl';
import {createQueuedCall} from '../../fixtures/create-queued-call/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {isTimely, planAdmission, type QueueForecast} from './index.js';

// It arrived at 0 with a latency goal of 1 s and a deadline of 10 s.
const call = createQueuedCall();
const plan = (forecast: Partial<QueueForecast>, now: number, longestWaitMs = 5000) =>
	planAdmission(call, {waitMs: undefined, drainMs: undefined, ...forecast}, longestWaitMs, now as MonotonicMs);

test('guards against a refusal while the rate of service is unknown: the call waits as long as it can be answered in time', () => {
	expect(plan({}, 0)).toEqual({type: 'wait', until: 600 as MonotonicMs});
	expect(plan({waitMs: 500}, 0)).toEqual({type: 'wait', until: 600 as MonotonicMs});
	expect([isTimely(call, 599 as MonotonicMs), isTimely(call, 600 as MonotonicMs)]).toEqual([true, false]);
});

test('guards against a long wait that ends with a refusal: without prospects the call waits only as long as that costs nothing', () => {
	expect(plan({waitMs: 700}, 0)).toEqual({type: 'wait', until: 125 as MonotonicMs});
	expect(plan({waitMs: 700}, 125)).toEqual({type: 'refuse', reason: 'overload'});
	expect(plan({}, 600)).toEqual({type: 'refuse', reason: 'overload'});
});

test('guards against the refusal of a call that a shrinking queue would serve late', () => {
	expect(plan({waitMs: 700, drainMs: 900}, 600)).toEqual({type: 'wait', until: 850 as MonotonicMs});
	expect(plan({waitMs: 700, drainMs: 4300}, 600)).toEqual({type: 'wait', until: 850 as MonotonicMs});
	expect(plan({waitMs: 700, drainMs: 4500}, 600)).toEqual({type: 'refuse', reason: 'overload'});
});

test('guards against a wait for what can\'t be served before its deadline, or within the longest wait', () => {
	expect(plan({waitMs: 9700}, 0)).toEqual({type: 'refuse', reason: 'deadline'});
	expect(plan({}, 9600)).toEqual({type: 'refuse', reason: 'deadline'});
	expect(plan({waitMs: 400}, 0, 300)).toEqual({type: 'refuse', reason: 'deadline'});
	expect(plan({}, 0, 300)).toEqual({type: 'wait', until: 300 as MonotonicMs});
});
