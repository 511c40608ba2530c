import {test} from 'node:test';
import {expect} from 'earl';
import {createQueueEntry} from '../../fixtures/create-queued-call/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {isHeld} from './index.js';

test('guards against a call that is passed for ever, and against one that stops others for ever', () => {
	const entry = createQueueEntry();
	entry.passedTokens = 1999;
	expect(isHeld(entry, 0 as MonotonicMs)).toEqual(false);
	entry.passedTokens = 2000;
	expect([10, 259, 260, 1000].map(now => isHeld(entry, now as MonotonicMs))).toEqual([true, true, false, false]);
});
