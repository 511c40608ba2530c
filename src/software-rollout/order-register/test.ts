import {test} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '../../clock/instant/index.js';
import {createRolloutObject, createRolloutOrder, createRolloutStatus} from '../../fixtures/create-rollout-object/index.js';
import type {
	MonotonicMs, ResourceVersion, SoftwareVersion, WallMs,
} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import type {RolloutObject} from '../rollout-types/index.js';
import {OrderRegister} from './index.js';

const service = 'service-1' as ServiceId;
const [v1, v2, v3] = ['v1', 'v2', 'v3'].map(version => version as SoftwareVersion) as [SoftwareVersion, SoftwareVersion, SoftwareVersion];
const order = createRolloutOrder();

function createInstant(ms: number): Instant {
	return {monotonic: ms as MonotonicMs, wall: ms as WallMs};
}

/** Creates a register that has read an empty collection and sees targets of `versions`. */
function createRegister(versions: readonly SoftwareVersion[] = [v1, v2]) {
	const register = new OrderRegister(() => versions);
	const replace = (objects: readonly RolloutObject[], version: string, ms = 0) => {
		register.replace(objects, version as ResourceVersion, createInstant(ms));
		return register.find(service);
	};

	replace([], '1:1');
	return {register, replace};
}

test('takes an order over, with the versions that serve before it', () => {
	const {replace} = createRegister();
	const rollout = replace([createRolloutObject(order, '1:2')], '1:2', 500);
	expect([rollout?.number, rollout?.previous, Number(rollout?.startedAt), rollout?.status]).toEqual([1, [v1], 500, undefined]);
});

test('guards against an older status that replaces a newer one', () => {
	const {replace} = createRegister();
	const shift = createRolloutStatus(order, {stage: 'shift', write: 2});
	replace([createRolloutObject(order, '1:4', shift)], '1:4', 100);
	expect(replace([createRolloutObject(order, '1:3', createRolloutStatus(order))], '1:3', 200)?.status).toEqual(shift);
});

test('takes an order that is put again for a newer one', () => {
	const status = createRolloutStatus(order, {state: 'rolledBack', write: 2});
	for (const again of [undefined, status]) {
		const {register, replace} = createRegister();
		replace([createRolloutObject(order, '1:2')], '1:2', 0);
		replace([createRolloutObject(order, '1:4', status)], '1:4', 2000);
		expect(register.isExcluded(service, v2)).toEqual(true);
		const rollout = replace([createRolloutObject(order, '1:5', again)], '1:5', 9000);
		expect([rollout?.number, Number(rollout?.startedAt), rollout?.status, rollout?.previous]).toEqual([2, 9000, undefined, [v1]]);
		expect(register.isExcluded(service, v2)).toEqual(false);
	}
});

test('guards against a version that was rolled back and serves again because another one is ordered', () => {
	const {register, replace} = createRegister([v1, v2, v3]);
	const rolledBack = createRolloutStatus(order, {state: 'rolledBack', write: 2});
	replace([createRolloutObject(order, '1:2', rolledBack)], '1:2');
	const rollout = replace([createRolloutObject(createRolloutOrder({target: v3}), '1:3', rolledBack)], '1:3');
	expect([rollout?.number, rollout?.previous, register.listExcluded(service)]).toEqual([2, [v1], [v2]]);
});

test('guards against a version that turned out bad shortly before another one is ordered', () => {
	const {register, replace} = createRegister([v1, v2, v3]);
	const rollout = replace([createRolloutObject(order, '1:2', createRolloutStatus(order))], '1:2');
	expect([register.stop(rollout!, 'failures'), register.stop(rollout!, 'failures')]).toEqual([true, false]);
	const next = replace([createRolloutObject(createRolloutOrder({target: v3}), '1:3', createRolloutStatus(order))], '1:3');
	expect([next?.stopReason, next?.previous, register.listExcluded(service)]).toEqual([undefined, [v1], [v2]]);
});

test('goes on from the version that an earlier order completed, and back to one before', () => {
	const {replace} = createRegister([v1, v2, v3]);
	const completed = createRolloutStatus(order, {state: 'completed', write: 3});
	replace([createRolloutObject(order, '1:2', completed)], '1:2');
	expect(replace([createRolloutObject(createRolloutOrder({target: v3}), '1:3', completed)], '1:3')?.previous).toEqual([v2]);
	const {replace: replaceOther} = createRegister([v1, v2]);
	replaceOther([createRolloutObject(order, '1:2', createRolloutStatus(order))], '1:2');
	expect(replaceOther([createRolloutObject(createRolloutOrder({target: v1}), '1:3', createRolloutStatus(order))], '1:3')?.previous).toEqual([v2]);
});

test('guards against a restart that begins the order anew: the status, the other instances or the wall clock tell its age', () => {
	const status = createRolloutStatus(order, {ageMs: 3000, orderedAt: 1000 as WallMs, stage: 'shift'});
	const register = new OrderRegister(() => [v1, v2]);
	register.replace([createRolloutObject(order, '1:5', status)], '1:5' as ResourceVersion, createInstant(9000));
	const rollout = register.find(service)!;
	expect([Number(rollout.startedAt), rollout.status?.stage]).toEqual([1000, 'shift']);
	register.raiseAge(rollout, 9000, 9500 as MonotonicMs);
	expect(Number(rollout.startedAt)).toEqual(500);
	const skewed = new OrderRegister(() => [v1, v2]);
	skewed.replace([createRolloutObject(order, '1:5', {...status, orderedAt: 90_000 as WallMs})], '1:5' as ResourceVersion, createInstant(9000));
	expect(Number(skewed.find(service)!.startedAt)).toEqual(6000);
});

test('guards against what a restore of the store from a copy brings back: no status, an older order, or no order', () => {
	const {register, replace} = createRegister();
	const status = createRolloutStatus(order, {stage: 'shift', write: 2});
	replace([createRolloutObject(order, '1:6', status)], '1:6', 0);
	let rollout = replace([createRolloutObject(order, '2:3')], '2:3', 100);
	expect([rollout?.status, rollout?.storedStatus, rollout?.isListed, rollout?.number]).toEqual([status, undefined, true, 1]);
	rollout = replace([], '3:1', 200);
	expect([rollout?.status, rollout?.isListed]).toEqual([status, false]);
	rollout = replace([createRolloutObject(order, '3:2')], '3:2', 300);
	expect([rollout?.status, rollout?.isListed]).toEqual([status, true]);
	const later = createRolloutOrder({target: v3});
	replace([createRolloutObject(later, '3:3')], '3:3', 400);
	rollout = replace([createRolloutObject(order, '4:3', status)], '4:3', 500);
	expect([rollout?.order.target, rollout?.isListed, register.list().length]).toEqual([v3, false, 1]);
});

test('forgets a rollout whose object is removed, and keeps its version out unless it had completed', () => {
	for (const [state, excluded] of [['serving', [v2]], ['rolledBack', [v2]], ['completed', []]] as const) {
		const {register, replace} = createRegister();
		replace([createRolloutObject(order, '1:2', createRolloutStatus(order, {state}))], '1:2');
		expect(replace([], '1:3')).toEqual(undefined);
		expect(register.listExcluded(service)).toEqual([...excluded]);
	}
});
