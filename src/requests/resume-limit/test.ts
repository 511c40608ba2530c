import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {ResumeLimit} from './index.js';

const silenceMs = 10_000;

/** Breaks a stream each `intervalMs` at the same offset; returns for how many milliseconds it is resumed. */
function measureResumedMs(limit: ResumeLimit, isReplaceable: boolean, intervalMs: number, startedAt = 0): number {
	let now = startedAt;
	while (limit.tryResume(7, isReplaceable, now as MonotonicMs)) {
		now += intervalMs;
	}

	return now - startedAt;
}

test('guards against resumes without end, and against a run given up early although nothing can replace it', () => {
	expect(measureResumedMs(new ResumeLimit(silenceMs), true, 100)).toEqual(200);
	expect(measureResumedMs(new ResumeLimit(silenceMs), false, 100)).toEqual(silenceMs);
	// Each resume waits for the whole silence of its engine.
	expect(measureResumedMs(new ResumeLimit(silenceMs), false, silenceMs)).toEqual(2 * silenceMs);
});

test('guards against a limit that counts breaks before the last new chunk', () => {
	const limit = new ResumeLimit(silenceMs);
	for (const offset of [0, 1, 2, 3, 4]) {
		expect(limit.tryResume(offset, true, 0 as MonotonicMs)).toEqual(true);
	}

	expect(measureResumedMs(limit, true, 100, 3 * silenceMs)).toEqual(200);
});
