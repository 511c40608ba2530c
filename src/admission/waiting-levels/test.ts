import {test} from 'node:test';
import {expect} from 'earl';
import {createQueuedCall, createQueueEntry} from '../../fixtures/create-queued-call/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {WaitingLevels} from './index.js';

test('guards against a call that goes before one of a higher priority', () => {
	const levels = new WaitingLevels();
	const entries = [2, 0, 10, 1, -1].map(priority => createQueueEntry({priority}));
	for (const entry of entries) {
		levels.add(entry);
	}

	expect([levels.sumTokens(1), levels.sumTokensBefore(createQueuedCall({priority: 1}))]).toEqual([3000, 4000]);
	expect(levels.countByPriority().get(10)).toEqual(1);
	const started: number[] = [];
	levels.drain({
		canTry: () => true,
		tryStart(entry) {
			started.push(entry.call.priority);
			levels.remove(entry);
			return true;
		},
	}, 0 as MonotonicMs);
	expect(started).toEqual([-1, 0, 1, 2, 10]);
	expect(levels.countByPriority().size).toEqual(0);
});
