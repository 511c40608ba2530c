import {test} from 'node:test';
import {expect} from 'earl';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {ServiceRetryBudgets} from './index.js';

const service = 'service-1' as ServiceId;

test('guards against more retries to a failing service than all instances together may send', () => {
	const instances = Array.from({length: 8}, () => new ServiceRetryBudgets(() => ({ratio: 0.2, extra: 56}), () => 8));
	let retries = 0;
	const calls = 100;
	for (const budgets of instances) {
		for (let call = 0; call < calls; call += 1) {
			budgets.find(service).recordRequest();
			retries += budgets.find(service).take() ? 1 : 0;
		}
	}

	expect(retries <= (0.2 * calls * 8) + 56).toEqual(true);
});

test('allows a first retry before any call has been counted', () => {
	expect(new ServiceRetryBudgets(() => ({ratio: 0.2, extra: 56}), () => 8).find(service).take()).toEqual(true);
});
