import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs, WallMs} from '../../identity/ids/index.js';
import {ManualClock} from '../../clock/manual-clock/index.js';
import type {LogFields} from '../../logging/create-logger/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {StandstillMonitor} from './index.js';

function startMonitor() {
	const lines: Array<LogFields | undefined> = [];
	const logger = {
		...quietLogger,
		warn(_event: string, fields?: LogFields) {
			lines.push(fields);
		},
	};
	const uncounted: number[] = [];
	const monitor = new StandstillMonitor({
		clock: new ManualClock(), logger,
		onUncountedTime(ms) {
			uncounted.push(ms);
		},
	});
	const check = (monotonic: number, wall: number) => {
		monitor.check(monotonic as MonotonicMs, wall as WallMs);
	};

	return {check, lines, uncounted};
}

test('guards against a standstill that no log line shows, also if the monotonic clock does not count it', () => {
	const {check, lines, uncounted} = startMonitor();
	check(0, 10_000);
	check(500, 10_500);
	check(5400, 15_400);
	check(5900, 19_900);
	expect(lines).toEqual([{monotonicMs: 4400, wallMs: 4400}, {monotonicMs: 0, wallMs: 4000}]);
	expect(uncounted).toEqual([4000]);
});

test('guards against log lines for checks that are a little late', () => {
	const {check, lines} = startMonitor();
	check(0, 0);
	check(1100, 1100);
	expect(lines).toEqual([]);
});
