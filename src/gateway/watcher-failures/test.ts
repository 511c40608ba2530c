import {test} from 'node:test';
import {expect} from 'earl';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {WatcherFailures} from './index.js';

const watcher = 'w' as InstanceId;
const at = (ms: number) => ms as MonotonicMs;

test('guards against polls of a watcher that has just failed, and against one that is never polled again', () => {
	const failures = new WatcherFailures(new RandomSource(1));
	failures.recordFailure(watcher, at(0));
	expect([failures.isInTurn(watcher, at(1500)), failures.isInTurn(watcher, at(2500))]).toEqual([false, true]);
	expect([failures.hasFailed(watcher, at(3900)), failures.hasFailed(watcher, at(4100))]).toEqual([true, false]);
	failures.recordFailure(watcher, at(5000));
	failures.recordAnswer(watcher, false, at(5100));
	expect([failures.isInTurn(watcher, at(5100)), failures.hasFailed(watcher, at(5100))]).toEqual([true, false]);
});

test('guards against followers that all return to a watcher at the same moment', () => {
	const followers = Array.from({length: 59}, (_, seed) => new WatcherFailures(new RandomSource(seed)));
	for (const failures of followers) {
		failures.recordFailure(watcher, at(0));
	}

	const countReturned = (ms: number) => followers.filter(failures => failures.isInTurn(watcher, at(ms))).length;
	const steps = [1600, 1700, 1800, 1900, 2000, 2100, 2200, 2300, 2400].map(ms => countReturned(ms) - countReturned(ms - 100));
	expect(Math.max(...steps) < followers.length / 3).toEqual(true);
});
