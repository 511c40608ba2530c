import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import type {TargetId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {TargetFleet} from './index.js';

const service = 'service-1' as ServiceId;

test('guards against calls to targets that are leaving or no longer listed', () => {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('a'), createDescription('b')]);
	expect(fleet.listServing(service).length).toEqual(2);
	fleet.replace([createDescription('a', {isLeaving: true})]);
	expect(fleet.listServing(service)).toEqual([]);
	expect(fleet.locate('b' as TargetId)).toEqual(undefined);
});

test('guards against keeping observations of a target that restarted under the same id', () => {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('a', {startedAt: 1})]);
	const before = fleet.locate('a' as TargetId);
	fleet.replace([createDescription('a', {startedAt: 1, slots: 32})]);
	expect(fleet.locate('a' as TargetId) === before).toEqual(true);
	fleet.replace([createDescription('a', {startedAt: 2})]);
	expect(fleet.locate('a' as TargetId) === before).toEqual(false);
});

test('guards against calls to a target that has said that it is leaving, while the list lags or is an older copy', () => {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('a')]);
	expect(fleet.locate('a' as TargetId)!.recordLeaving()).toEqual(true);
	expect(fleet.listServing(service)).toEqual([]);
	fleet.replace([createDescription('a', {isLeaving: true})]);
	fleet.replace([createDescription('a')]);
	expect(fleet.listServing(service)).toEqual([]);
	fleet.replace([createDescription('a', {startedAt: 2})]);
	expect(fleet.listServing(service).length).toEqual(1);
});

test('guards against a busy loop when a listener subscribes again while it is called: it is called once per change', () => {
	const fleet = new TargetFleet(quietLogger);
	let notificationCount = 0;
	const wait = () => {
		const unsubscribe = fleet.subscribe(() => {
			unsubscribe();
			notificationCount += 1;
			if (notificationCount < 1000) {
				wait();
			}
		});
	};

	wait();
	fleet.notify();
	expect(notificationCount).toEqual(1);
	fleet.notify();
	expect(notificationCount).toEqual(2);
});
