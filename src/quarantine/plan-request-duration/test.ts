import {test} from 'node:test';
import {expect} from 'earl';
import {planRequestDuration} from './index.js';

test('guards against a request that reaches targets in more than three trials within a month', () => {
	let durationMs: number | undefined;
	let trials = 0;
	for (let elapsedMs = 0; elapsedMs < 30 * 86_400_000; elapsedMs += durationMs) {
		durationMs = planRequestDuration(durationMs, 1);
		trials += 1;
	}

	expect(trials <= 3).toEqual(true);
});
