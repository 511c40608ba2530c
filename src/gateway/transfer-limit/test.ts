import {test} from 'node:test';
import {expect} from 'earl';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {TransferLimit} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const id = (number: number) => `i${number}` as InstanceId;

test('guards against many large answers that share a thin link, and refers others to instances that have the version', () => {
	const limit = new TransferLimit();
	expect([0, 1, 2, 3, 4].map(number => limit.tryBegin(id(number), 'v1', at(0)))).toEqual([true, true, true, true, false]);
	limit.recordReceived(id(2));
	limit.recordReceived(id(9));
	expect([limit.tryBegin(id(4), 'v1', at(10)), limit.listReceivers()]).toEqual([true, [id(2)]]);
	expect([limit.tryBegin(id(5), 'v2', at(20)), limit.listReceivers()]).toEqual([false, []]);
});

test('guards against receivers that never confirm and keep all others waiting', () => {
	const limit = new TransferLimit();
	for (const number of [0, 1, 2, 3]) {
		limit.tryBegin(id(number), 'v1', at(0));
	}

	expect([limit.tryBegin(id(4), 'v1', at(900)), limit.tryBegin(id(4), 'v1', at(1000))]).toEqual([false, true]);
});
