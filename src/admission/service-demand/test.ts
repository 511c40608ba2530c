import {test} from 'node:test';
import {expect} from 'earl';
import {createQueuedCall, createQueueEntry} from '../../fixtures/create-queued-call/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {WaitingLevels} from '../waiting-levels/index.js';
import {ServiceDemand} from './index.js';

const call = createQueuedCall();

/** Rates in calls per second, and for how long calls wait. */
type Load = {readonly sentPerSecond: number; readonly arrivalsPerSecond: number; readonly urgentPerSecond?: number; readonly busyMs?: number};

/** Lets calls of 1000 tokens wait for `busyMs` and returns the forecast of one that has arrived last. */
function forecast({sentPerSecond, arrivalsPerSecond, urgentPerSecond = 0, busyMs = 4000}: Load) {
	const demand = new ServiceDemand();
	const levels = new WaitingLevels();
	for (let index = 0; index < 5; index += 1) {
		levels.add(createQueueEntry());
	}

	demand.recordWaiting(0 as MonotonicMs);
	for (let now = 0; now <= busyMs; now += 10) {
		demand.recordSent(sentPerSecond * 10, now as MonotonicMs);
		demand.recordArrival(1, arrivalsPerSecond * 10, now as MonotonicMs);
		demand.recordArrival(0, urgentPerSecond * 10, now as MonotonicMs);
	}

	const {waitMs, drainMs} = demand.forecast(call, levels, busyMs as MonotonicMs);
	return [waitMs, drainMs].map(ms => ms === undefined ? undefined : Math.round(ms / 100) * 100);
}

test('guards against a forecast from the arrivals of a time without waiting calls', () => {
	expect(forecast({sentPerSecond: 10, arrivalsPerSecond: 10, busyMs: 900})).toEqual([undefined, undefined]);
});

test('guards against refusals at once of all calls while targets are silent for a moment', () => {
	const demand = new ServiceDemand();
	demand.recordWaiting(0 as MonotonicMs);
	demand.recordSent(10_000, 0 as MonotonicMs);
	const isKnown = [2000, 6000].map(now => demand.forecast(call, new WaitingLevels(), now as MonotonicMs).waitMs !== undefined);
	expect(isKnown).toEqual([true, false]);
});

test('guards against hope for room while as much arrives as is served', () => {
	expect(forecast({sentPerSecond: 10, arrivalsPerSecond: 10})).toEqual([600, undefined]);
	expect(forecast({sentPerSecond: 10, arrivalsPerSecond: 5})).toEqual([600, 1000]);
});

test('guards against a forecast that leaves out more urgent calls', () => {
	expect(forecast({sentPerSecond: 10, arrivalsPerSecond: 5, urgentPerSecond: 5})).toEqual([1200, undefined]);
});
