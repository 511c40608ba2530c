import {test} from 'node:test';
import {expect} from 'earl';
import {createQueuedCall} from '../../fixtures/create-queued-call/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {SharedBacklog, subtractEntries, type WaitingEntry} from './index.js';

const service = 's' as ServiceId;
const peer = 'peer' as InstanceId;
const now = 0 as MonotonicMs;
const expiresAt = 1000 as MonotonicMs;
const urgent: WaitingEntry = [service, 0, 3, 500];

/** Whether a call of priority 1 leaves room to others at `at`. */
const hasMoreUrgent = (backlog: SharedBacklog, at = now, memoryTokens = 1000) =>
	backlog.hasMoreUrgent(service, createQueuedCall({needs: {memoryTokens}}), at);

test('guards against calls that leave room to others of the same priority, of another service, or too large for it', () => {
	const backlog = new SharedBacklog(() => []);
	backlog.record(peer, [[service, 1, 3, 500], ['other' as ServiceId, 0, 3, 500]], expiresAt);
	expect(hasMoreUrgent(backlog)).toEqual(false);
	backlog.record(peer, [urgent], expiresAt);
	expect([hasMoreUrgent(backlog), hasMoreUrgent(backlog, now, 400)]).toEqual([true, false]);
});

test('guards against a backlog that counts after its instance has gone silent, reports none, or is of an earlier release', () => {
	const backlog = new SharedBacklog(() => []);
	backlog.record(peer, [urgent], expiresAt);
	expect([hasMoreUrgent(backlog, 1000 as MonotonicMs), hasMoreUrgent(backlog, 1001 as MonotonicMs)]).toEqual([true, false]);
	for (const entries of [[], undefined]) {
		backlog.record(peer, [urgent], expiresAt);
		backlog.record(peer, entries, expiresAt);
		expect(hasMoreUrgent(backlog)).toEqual(false);
	}
});

test('guards against sums that count a call twice or leave one out', () => {
	const backlog = new SharedBacklog(() => [[service, 1, 2, 100]]);
	backlog.record(peer, [[service, 1, 4, 50], urgent], expiresAt);
	backlog.record('remote' as InstanceId, [[service, 1, 1, 10]], expiresAt);
	expect(backlog.sum(new Set([peer]), now)).toEqual([urgent, [service, 1, 6, 50]]);
	expect(backlog.sumAll(now)).toEqual([urgent, [service, 1, 7, 10]]);
	expect(subtractEntries([urgent, [service, 1, 7, 10]], [[service, 1, 2, 100], [service, 0, 3, 500]])).toEqual([[service, 1, 5, 10]]);
});
