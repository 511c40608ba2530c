import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {LogFields} from '../../logging/create-logger/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {CongestionLog} from './index.js';

/** Creates a log and the lines that it has written. */
function createLog() {
	const lines: Array<[string, LogFields | undefined]> = [];
	const write = (event: string, fields?: LogFields) => {
		lines.push([event, fields]);
	};

	return {lines, log: new CongestionLog('s' as ServiceId, {...quietLogger, info: write, warn: write})};
}

test('guards against a line for each call, and against congestion that leaves none', () => {
	const {lines, log} = createLog();
	for (let now = 0; now <= 5000; now += 10) {
		log.recordJoin(now as MonotonicMs);
	}

	log.recordRefusal();
	log.recordEmpty(5100 as MonotonicMs);
	expect(lines).toEqual([
		['calls wait for targets', {service: 's', sinceMs: 1000, waited: 101}],
		['no call waits for targets', {
			service: 's', durationMs: 5100, waited: 501, refused: 1,
		}],
	]);
});

test('guards against lines for single calls that wait now and then', () => {
	const {lines, log} = createLog();
	for (let now = 0; now <= 20_000; now += 1200) {
		log.recordJoin(now as MonotonicMs);
		log.recordEmpty(now + 60 as MonotonicMs);
	}

	expect(lines).toEqual([]);
});
