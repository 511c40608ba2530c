import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {ServiceRetryBudgets} from '../service-retry-budgets/index.js';
import {createRetryGauges} from './index.js';

test('guards against an empty budget that shows in no metric because another service has retries left', () => {
	const clock = new ManualClock();
	const startedAt = clock.readMonotonic();
	const budgets = new ServiceRetryBudgets(() => ({ratio: 0.2, extra: 0, windowMs: 10_000}), () => 1, startedAt);
	for (let call = 0; call < 10; call += 1) {
		budgets.find('busy' as ServiceId).recordCall(startedAt);
	}

	budgets.find('busy' as ServiceId).take(startedAt);
	budgets.find('failing' as ServiceId).take(startedAt);
	const {gauges} = createRetryGauges(budgets, clock);
	expect(Object.fromEntries(Object.entries(gauges).map(([name, {read}]) => [name, read()]))).toEqual({
		retry_budget_lowest_level: 0, retries_taken: 1, retries_refused: 1,
	});
});
