import {test} from 'node:test';
import {expect} from 'earl';
import {createRouterError} from '../../results/create-router-error/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {planMove} from './index.js';

test('guards against spending a retry on a call whose guard allows no further run', () => {
	let planned = 0;
	const call = {
		guard: {findError: () => createRouterError('requestQuarantined')},
		planStep() {
			planned += 1;
			return {type: 'retry' as const};
		},
	};
	const step = planMove({...call, selection: undefined as never}, undefined as never, 0 as MonotonicMs);
	expect([step.type, planned]).toEqual(['stay', 0]);
});
