import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {describeTarget} from './index.js';

test('shows what keeps calls away from a target', () => {
	const target = createFleetTarget('t');
	target.cordonedUntil = 100;
	target.beginCall(1000, 0 as MonotonicMs);
	const {id, calls, cordoned, silent, avoided} = describeTarget(target, 50 as MonotonicMs);
	expect({
		id, calls, cordoned, silent, avoided,
	}).toEqual({
		id: target.description.id, calls: 1, cordoned: true, silent: false, avoided: false,
	});
});
