import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription, testModel} from '../../fixtures/create-fleet-target/index.js';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {unknownStart} from '../../statements/statement-register/index.js';
import {TargetFleet} from './index.js';

const service = 'service-1' as ServiceId;
const targetId = 'a' as TargetId;
const at = (ms: number) => ms as MonotonicMs;

test('guards against calls to targets that are leaving or no longer listed', () => {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('a'), createDescription('b')], at(0));
	expect(fleet.listServing(service).length).toEqual(2);
	fleet.replace([createDescription('a', {isLeaving: true})], at(0));
	expect(fleet.listServing(service)).toEqual([]);
	expect(fleet.locate('b' as TargetId)).toEqual(undefined);
});

test('guards against keeping observations of a target that restarted under the same id', () => {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('a', {startedAt: 1})], at(0));
	const before = fleet.locate('a' as TargetId);
	fleet.replace([createDescription('a', {startedAt: 1, slots: 32})], at(0));
	expect(fleet.locate('a' as TargetId) === before).toEqual(true);
	fleet.replace([createDescription('a', {startedAt: 2})], at(0));
	expect(fleet.locate('a' as TargetId) === before).toEqual(false);
});

test('guards against calls to a target that has said that it is leaving, while the list lags or is an older copy', () => {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('a')], at(0));
	expect(fleet.locate('a' as TargetId)!.recordLeaving()).toEqual(true);
	expect(fleet.listServing(service)).toEqual([]);
	fleet.replace([createDescription('a', {isLeaving: true})], at(0));
	fleet.replace([createDescription('a')], at(0));
	expect(fleet.listServing(service)).toEqual([]);
	fleet.replace([createDescription('a', {startedAt: 2})], at(0));
	expect(fleet.listServing(service).length).toEqual(1);
});

test('guards against calls to a target that said that it leaves, removed its entry, and is listed again in an older copy', () => {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('a')], at(0));
	fleet.locate(targetId)!.recordLeaving();
	fleet.replace([], at(1000));
	fleet.replace([createDescription('a')], at(2000));
	expect(fleet.listServing(service)).toEqual([]);
});

test('guards against a statement that is lost because the entry went while its answer was on the way', () => {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('a')], at(0));
	const target = fleet.locate(targetId)!;
	fleet.replace([], at(1000));
	target.recordLeaving();
	fleet.replace([createDescription('a')], at(2000));
	expect(fleet.listServing(service)).toEqual([]);
});

test('guards against a pause, a limit and an observed weights version that end with the entry of their target', () => {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('a')], at(0));
	const before = fleet.locate(targetId)!;
	before.pause.recordStated(at(9000), at(10));
	before.limit.recordStated(2, at(10));
	before.recordVersion(testModel, 2);
	fleet.replace([], at(1000));
	fleet.replace([createDescription('a')], at(2000));
	const after = fleet.locate(targetId)!;
	expect([after.isPaused(at(2000)), after.limit.read(), after.readVersion(testModel)]).toEqual([true, 2, 2]);
});

test('guards against statements of a target that hold for a later one under the same id', () => {
	const fleet = new TargetFleet(quietLogger);
	for (const changes of [{startedAt: 2}, {startedAt: 1, address: '127.0.0.1:2'}]) {
		fleet.replace([createDescription('a')], at(0));
		const before = fleet.locate(targetId)!;
		before.recordLeaving();
		before.pause.recordStated(at(9000), at(10));
		before.limit.recordStated(2, at(10));
		fleet.replace([], at(1000));
		fleet.replace([createDescription('a', changes)], at(2000));
		const after = fleet.locate(targetId)!;
		expect([after.isLeaving, after.isPaused(at(2000)), after.limit.read()]).toEqual([false, false, undefined]);
	}
});

test('guards against statements that hold for another process because its entry, like the one before, tells no start', () => {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('a', {startedAt: unknownStart})], at(0));
	fleet.locate(targetId)!.recordLeaving();
	fleet.replace([], at(1000));
	fleet.statements.get({id: targetId, startedAt: unknownStart}, at(1500)).recordLeaving();
	fleet.replace([createDescription('a', {startedAt: unknownStart})], at(2000));
	expect(fleet.listServing(service).length).toEqual(1);
});

test('guards against calls to a target whose entry showed that it leaves, when an older copy shows it without', () => {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('a', {isLeaving: true})], at(0));
	fleet.replace([createDescription('a')], at(1000));
	expect(fleet.listServing(service)).toEqual([]);
	fleet.replace([], at(2000));
	fleet.replace([createDescription('a')], at(3000));
	expect(fleet.listServing(service)).toEqual([]);
	expect(fleet.locate(targetId)!.recordLeaving()).toEqual(true);
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
