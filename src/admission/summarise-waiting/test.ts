import {test} from 'node:test';
import {expect} from 'earl';
import {createQueuedCall} from '../../fixtures/create-queued-call/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {summariseWaiting} from './index.js';

test('guards against reports that leave out the call which fits into least room', () => {
	const calls = [300, 100, 200].map(memoryTokens => createQueuedCall({needs: {memoryTokens}}));
	const service = 's' as ServiceId;
	expect(summariseWaiting(service, [...calls, createQueuedCall({priority: 0})])).toEqual([[service, 1, 3, 100], [service, 0, 1, 1000]]);
	expect(summariseWaiting(service, [])).toEqual([]);
});
