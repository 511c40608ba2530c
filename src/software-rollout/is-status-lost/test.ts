import {test} from 'node:test';
import {expect} from 'earl';
import {createRolloutObject, createRolloutOrder, createRolloutStatus} from '../../fixtures/create-rollout-object/index.js';
import type {MonotonicMs, ResourceVersion, WallMs} from '../../identity/ids/index.js';
import {OrderRegister} from '../order-register/index.js';
import {isStatusLost, isStoredStatusOlder, lostStatusDelayMs} from './index.js';

test('guards against writing a status again that the feed has not brought yet', () => {
	const register = new OrderRegister(() => []);
	const order = createRolloutOrder();
	const at = (ms: number) => ({monotonic: ms as MonotonicMs, wall: ms as WallMs});
	register.replace([createRolloutObject(order, '1:2')], '1:2' as ResourceVersion, at(0));
	const rollout = register.find(order.service)!;
	expect(isStoredStatusOlder(rollout)).toEqual(false);
	register.adoptStatus(rollout, createRolloutStatus(order), 100 as MonotonicMs);
	const isLostAt = (ms: number) => isStatusLost(rollout, ms as MonotonicMs);
	expect([isStoredStatusOlder(rollout), isLostAt(200), isLostAt(100 + lostStatusDelayMs)]).toEqual([true, false, true]);
	register.replace([createRolloutObject(order, '1:3', createRolloutStatus(order))], '1:3' as ResourceVersion, at(5000));
	expect([isStoredStatusOlder(rollout), isLostAt(9000)]).toEqual([false, false]);
});
