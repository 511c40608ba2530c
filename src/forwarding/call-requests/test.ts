import {test} from 'node:test';
import {expect} from 'earl';
import {createFixedRetries} from '../../fixtures/create-fixed-retries/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {CallRequests, noPriorRequests} from './index.js';

const now = 0 as MonotonicMs;

/** Creates the requests of a call, and records which calls count. */
function createRequests(retries: number, prior = noPriorRequests) {
	const budget = createFixedRetries(retries);
	const counted = {calls: 0};
	const requests = new CallRequests(prior, {
		...budget,
		recordCall() {
			counted.calls += 1;
		},
		withdrawCall() {
			counted.calls -= 1;
		},
	});
	return {budget, counted, requests};
}

test('guards against a request beyond the first that is not paid for', () => {
	const {budget, counted, requests} = createRequests(1);
	expect(requests.reserve(now)).toEqual(true);
	requests.recordSent(now);
	expect([requests.reserve(now), budget.readLevel(), counted.calls]).toEqual([true, 0, 1]);
	requests.recordSent(now);
	expect([requests.reserve(now), requests.count]).toEqual([false, 2]);
});

test('guards against paying twice for one request', () => {
	const {budget, requests} = createRequests(2);
	requests.recordSent(now);
	requests.reserve(now);
	requests.reserve(now);
	expect(budget.readLevel()).toEqual(1);
});

test('guards against a retry that is lost because its call ends before it is sent', () => {
	const {budget, requests} = createRequests(1);
	requests.recordSent(now);
	requests.reserve(now);
	requests.end(now);
	requests.end(now);
	expect(budget.readLevel()).toEqual(1);
});

test('guards against paying for the request after one that was never sent', () => {
	const {budget, counted, requests} = createRequests(1);
	requests.recordSent(now);
	requests.recordNotSent(now);
	expect([requests.count, counted.calls]).toEqual([0, 0]);
	requests.recordSent(now);
	requests.reserve(now);
	requests.recordSent(now);
	requests.recordNotSent(now);
	expect([requests.reserve(now), requests.count, counted.calls, budget.readLevel()]).toEqual([true, 1, 1, 0]);
});

test('guards against counting a call again that another instance has sent before', () => {
	const {budget, counted, requests} = createRequests(1, {count: 2, reservedRetries: 1});
	requests.recordSent(now);
	expect([counted.calls, requests.count, budget.readLevel()]).toEqual([0, 3, 1]);
});
