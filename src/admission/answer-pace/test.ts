import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {AnswerPace} from './index.js';

const promptTokens = 2000;

/** Lets a target answer calls that were sent together; `measureMs` tells when each is answered. Returns whether another five may join five. */
function simulateAnswers(measureMs: (index: number) => number, goalFraction = 0.8): boolean[] {
	const pace = new AnswerPace(() => goalFraction);
	const target = createFleetTarget('t');
	pace.recordGoal(500, 0 as MonotonicMs);
	const calls = Array.from({length: 5}, () => {
		const call = target.beginCall(promptTokens, 0 as MonotonicMs);
		pace.recordSent(target, call, 0 as MonotonicMs);
		return call;
	});
	const before = pace.allows(target, promptTokens, 0 as MonotonicMs);
	for (const [index, call] of calls.entries()) {
		target.recordAnswer(call, measureMs(index) as MonotonicMs);
		pace.recordAnswer(target, call, measureMs(index) as MonotonicMs);
		target.endCall(call);
	}

	const now = measureMs(calls.length) as MonotonicMs;
	const idle = pace.allows(target, promptTokens, now);
	for (const _ of calls) {
		target.beginCall(promptTokens, now);
	}

	return [before, idle, pace.allows(target, promptTokens, now)];
}

test('guards against prompts that queue at an engine until all of them are late', () => {
	expect(simulateAnswers(index => 120 * (index + 1))).toEqual([true, true, false]);
});

test('guards against calls that wait although the engine answers many at once', () => {
	expect(simulateAnswers(() => 300)).toEqual([true, true, true]);
	expect(simulateAnswers(() => 3000)).toEqual([true, true, true]);
});

test('guards against an effect of the pace where the settings exclude it', () => {
	expect(simulateAnswers(index => 120 * (index + 1), 0)).toEqual([true, true, true]);
});
