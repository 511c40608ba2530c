import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {TargetFleet} from './index.js';

const service = 'service-1' as ServiceId;
const now = 0 as MonotonicMs;

test('guards against calls to targets that are leaving or gone', () => {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('a'), createDescription('b')]);
	expect(fleet.listServing(service, now).length).toEqual(2);
	fleet.replace([createDescription('a', {isLeaving: true})]);
	expect(fleet.listServing(service, now)).toEqual([]);
	expect(fleet.locate('b' as TargetId)).toEqual(undefined);
});

test('guards against trusting what was observed of an earlier life under the same id', () => {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('a', {startedAt: 1})]);
	const before = fleet.locate('a' as TargetId);
	fleet.replace([createDescription('a', {startedAt: 1, slots: 32})]);
	expect(fleet.locate('a' as TargetId) === before).toEqual(true);
	fleet.replace([createDescription('a', {startedAt: 2})]);
	expect(fleet.locate('a' as TargetId) === before).toEqual(false);
});

test('believes a target that says itself that it is leaving, before the list does', () => {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('a')]);
	fleet.noteLeaving(fleet.locate('a' as TargetId)!, now);
	expect(fleet.listServing(service, 100 as MonotonicMs)).toEqual([]);
});

test('guards against a process that spins: a waiting call that goes on waiting after a change is not asked again for the same change', () => {
	const fleet = new TargetFleet(quietLogger);
	let calls = 0;
	const wait = () => {
		const unsubscribe = fleet.subscribe(() => {
			unsubscribe();
			calls += 1;
			if (calls < 1000) {
				wait();
			}
		});
	};

	wait();
	fleet.notify();
	expect(calls).toEqual(1);
	fleet.notify();
	expect(calls).toEqual(2);
});
