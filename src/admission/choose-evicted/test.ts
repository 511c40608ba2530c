import {test} from 'node:test';
import {expect} from 'earl';
import {createQueuedCall, createQueueEntry} from '../../fixtures/create-queued-call/index.js';
import type {MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import {chooseEvicted} from './index.js';

const flooder = 'flooder' as OrganisationId;
const oldest = createQueueEntry({organisation: flooder});
const newest = createQueueEntry({organisation: flooder, since: 10 as MonotonicMs});
const other = createQueueEntry({organisation: 'other' as OrganisationId, since: 20 as MonotonicMs});
const waiting = [oldest, newest, other];

test('guards against a full queue that refuses a more urgent call', () => {
	expect(chooseEvicted(waiting, createQueuedCall({priority: 0}))).toEqual(newest);
	expect(chooseEvicted(waiting, createQueuedCall({priority: 2}))).toEqual(undefined);
});

test('guards against one organisation that fills the queue', () => {
	expect(chooseEvicted(waiting, createQueuedCall({organisation: 'third' as OrganisationId}))).toEqual(newest);
	expect(chooseEvicted(waiting, createQueuedCall({organisation: flooder}))).toEqual(undefined);
	expect(chooseEvicted([], createQueuedCall())).toEqual(undefined);
});
