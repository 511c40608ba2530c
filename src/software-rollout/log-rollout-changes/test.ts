import {test} from 'node:test';
import {expect} from 'earl';
import {createRolloutObject, createRolloutOrder, createRolloutStatus} from '../../fixtures/create-rollout-object/index.js';
import type {MonotonicMs, ResourceVersion, WallMs} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {OrderRegister, type KnownRollout} from '../order-register/index.js';
import type {RolloutStatus} from '../rollout-types/index.js';
import {logRolloutChanges} from './index.js';

test('logs each order and each status once', () => {
	const events: string[] = [];
	const logger = {
		...quietLogger,
		info(event: string) {
			events.push(event);
		},
	};
	const register = new OrderRegister(() => []);
	const order = createRolloutOrder();
	const log = (text: string, status?: RolloutStatus) => {
		const before = new Map<KnownRollout, RolloutStatus | undefined>(register.list().map(rollout => [rollout, rollout.status]));
		const version = text as ResourceVersion;
		register.replace([createRolloutObject(order, version, status)], version, {monotonic: 0 as MonotonicMs, wall: 0 as WallMs});
		logRolloutChanges(logger, before, register.list());
	};

	log('1:2');
	log('1:2');
	log('1:3', createRolloutStatus(order));
	log('1:3', createRolloutStatus(order));
	expect(events).toEqual(['software rollout ordered', 'software rollout stage known']);
});
