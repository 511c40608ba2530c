import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {AnswerDeadline} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

test('guards against a slow answer that is broken off while it arrives, and against one that never ends', () => {
	const deadline = new AnswerDeadline({timeoutMs: 400, progress: {silenceMs: 300, maximumMs: 1000}}, at(0));
	expect(deadline.measureRemainingMs(at(100))).toEqual(300);
	deadline.recordPart(at(350));
	expect(deadline.measureRemainingMs(at(400))).toEqual(250);
	deadline.recordPart(at(900));
	expect(deadline.measureRemainingMs(at(950))).toEqual(50);
});

test('guards against a call without progress settings that outlasts its timeout', () => {
	const deadline = new AnswerDeadline({timeoutMs: 400}, at(0));
	deadline.recordPart(at(350));
	expect(deadline.measureRemainingMs(at(350))).toEqual(50);
});
