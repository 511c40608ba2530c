import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {planReturn} from './index.js';

const plan = (drainMs: number | undefined, draw: number, deadline = 9000) => planReturn({deadline: deadline as MonotonicMs, drainMs, draw}, 0 as MonotonicMs);

test('guards against callers that return while the queue is still full, or together', () => {
	expect([plan(1000, 0), plan(1000, 0.5), plan(undefined, 0), plan(undefined, 1)]).toEqual([1, 1.75, 1.5, 3]);
});

test('guards against a delay that callers don\'t honour', () => {
	expect(plan(8000, 0.99) <= 3).toEqual(true);
});

test('guards against callers that return at once shortly before their deadline', () => {
	expect([plan(0, 0, 100), plan(undefined, 0, 100)]).toEqual([0.3, 0.3]);
});
