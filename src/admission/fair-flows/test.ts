import {test} from 'node:test';
import {expect} from 'earl';
import {createQueuedCall, createQueueEntry, type QueuedCallChanges} from '../../fixtures/create-queued-call/index.js';
import type {MonotonicMs, OrganisationId, RouteId} from '../../identity/ids/index.js';
import type {QueueEntry} from '../queued-call/index.js';
import {FairFlows} from './index.js';

const now = 100 as MonotonicMs;

/** Adds `count` calls. */
function addCalls(flows: FairFlows, count: number, changes: QueuedCallChanges): void {
	for (let index = 0; index < count; index += 1) {
		flows.add(createQueueEntry(changes));
	}
}

/** Starts up to `limit` calls, and returns them in order. */
function drain(flows: FairFlows, limit: number): QueueEntry[] {
	const started: QueueEntry[] = [];
	flows.drain({
		canTry: () => started.length < limit,
		tryStart(entry) {
			started.push(entry);
			flows.remove(entry);
			return true;
		},
	}, now);
	return started;
}

const countOf = (entries: readonly QueueEntry[], organisation: string) => entries.filter(({call}) => call.organisation === organisation).length;

test('guards against an organisation that takes all room by many or by large calls', () => {
	const flows = new FairFlows();
	addCalls(flows, 500, {organisation: 'many' as OrganisationId});
	addCalls(flows, 50, {organisation: 'large' as OrganisationId, costTokens: 10_000});
	addCalls(flows, 20, {organisation: 'few' as OrganisationId});
	const started = drain(flows, 90);
	expect(countOf(started, 'few')).toEqual(20);
	const ratio = countOf(started, 'many') / (10 * countOf(started, 'large'));
	expect(ratio > 0.7 && ratio < 1.5).toEqual(true);
});

test('guards against weights without effect, and against more room for an organisation with more routes', () => {
	const flows = new FairFlows();
	addCalls(flows, 400, {organisation: 'heavy' as OrganisationId, weight: 3});
	addCalls(flows, 400, {organisation: 'light' as OrganisationId});
	for (const route of ['a', 'b', 'c']) {
		addCalls(flows, 400, {organisation: 'wide' as OrganisationId, route: route as RouteId});
	}

	const started = drain(flows, 250);
	const [heavy, light, wide] = ['heavy', 'light', 'wide'].map(organisation => countOf(started, organisation)) as [number, number, number];
	expect([Math.abs(heavy - (3 * light)) <= 30, Math.abs(wide - light) <= 16]).toEqual([true, true]);
});

test('guards against a route of long prompts that gets no room beside one of short prompts', () => {
	const flows = new FairFlows();
	addCalls(flows, 200, {route: 'short' as RouteId, costTokens: 858});
	addCalls(flows, 200, {route: 'long' as RouteId, costTokens: 9196});
	const started = drain(flows, 100);
	const longTokens = 9196 * started.filter(({call}) => call.route === 'long').length;
	const shortTokens = 858 * started.filter(({call}) => call.route === 'short').length;
	expect(longTokens / (longTokens + shortTokens) > 0.4).toEqual(true);
});

test('guards against a late call that takes the room of one that can still be answered in time', () => {
	const flows = new FairFlows();
	flows.add(createQueueEntry({since: -1000 as MonotonicMs}));
	flows.add(createQueueEntry({since: 10 as MonotonicMs}));
	flows.add(createQueueEntry({since: 0 as MonotonicMs}));
	expect(drain(flows, 3).map(({call}) => call.since as number)).toEqual([0, 10, -1000]);
});

test('guards against a call that is costlier than the tokens of many rounds and never gets its turn', () => {
	const flows = new FairFlows();
	flows.add(createQueueEntry({costTokens: 1e12}));
	expect(drain(flows, 1).length).toEqual(1);
});

test('guards against calls behind one that finds no room, which are not tried', () => {
	const flows = new FairFlows();
	const large = createQueueEntry({needs: {memoryTokens: 5000}});
	const small = createQueueEntry({needs: {memoryTokens: 10}});
	flows.add(large);
	flows.add(small);
	const tried: QueueEntry[] = [];
	flows.drain({
		canTry: entry => !tried.includes(entry),
		tryStart(entry) {
			tried.push(entry);
			return false;
		},
	}, now);
	expect(tried).toEqual([large, small]);
});

test('guards against a forecast that counts calls which go later', () => {
	const flows = new FairFlows();
	const own = createQueuedCall({since: 50 as MonotonicMs});
	addCalls(flows, 3, {since: 0 as MonotonicMs});
	addCalls(flows, 3, {since: 60 as MonotonicMs});
	expect(flows.sumTokensBefore(own)).toEqual(4000);
	addCalls(flows, 100, {organisation: 'other' as OrganisationId});
	expect([flows.sumTokensBefore(own), flows.sumTokens()]).toEqual([8000, 106_000]);
});
