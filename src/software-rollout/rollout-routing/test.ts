import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createRolloutObject, createRolloutOrder, createRolloutStatus} from '../../fixtures/create-rollout-object/index.js';
import {createRoute} from '../../fixtures/create-routing-configuration/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {
	MonotonicMs, ResourceVersion, SoftwareVersion, TargetId, WallMs,
} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {OrderRegister} from '../order-register/index.js';
import {EvidenceStore} from '../rollout-evidence/index.js';
import {unstatedVersionPrefix, type RolloutStatus} from '../rollout-types/index.js';
import {RolloutRouting} from './index.js';

const order = createRolloutOrder();
const {service} = order;
const versions = ['v1', 'v2', 'v3'].map(version => version as SoftwareVersion);

/** Creates the routing of an instance that sees one target of each of `serving`, and the rollout with `status` unless it is null. */
function createRouting(status: Partial<RolloutStatus> | undefined | null, serving: readonly string[] = ['v1', 'v2', 'v3']) {
	const clock = new ManualClock(1000);
	const fleet = new TargetFleet(quietLogger);
	fleet.replace(serving.map(version => createDescription(version, {softwareVersion: version as SoftwareVersion})), clock.readMonotonic());
	const orders = new OrderRegister(() => ['v1' as SoftwareVersion]);
	const evidence = new EvidenceStore();
	const now = {monotonic: 1000 as MonotonicMs, wall: 1000 as WallMs};
	orders.replace([], '1' as ResourceVersion, now);
	if (status !== null) {
		const stored = status === undefined ? undefined : createRolloutStatus(order, status);
		orders.replace([createRolloutObject(order, '2', stored)], '2' as ResourceVersion, now);
	}

	const routing = new RolloutRouting({
		clock, fleet, orders, evidence, readBounds: () => ({exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5000}),
	});
	const list = (fraction: number) => versions.filter(version => routing.allows(service, routing.chooseLane(service, fraction), version)).map(String);
	return {
		clock, fleet, orders, evidence, routing, list,
	};
}

test('guards against a change for a service without an order', () => {
	const {routing, list} = createRouting(null);
	expect([routing.chooseLane(service, 0), list(0)]).toEqual([undefined, ['v1', 'v2', 'v3']]);
});

test('guards against calls to a version that no order names, or before its stage is known', () => {
	expect([0, 0.5].map(fraction => createRouting(undefined).list(fraction))).toEqual([['v1'], ['v1']]);
	expect([0.01, 0.5].map(fraction => createRouting({}).list(fraction))).toEqual([['v2'], ['v1']]);
	expect(createRouting({state: 'completed'}).list(0.5)).toEqual(['v2']);
	expect(createRouting({state: 'rolledBack'}).list(0)).toEqual(['v1']);
});

test('sends all calls to the new version in a shift, and to the old one if the new targets are gone', () => {
	const status = {stage: 'shift', share: 0.04} as const;
	const {clock, list} = createRouting(status);
	expect(list(0.9)).toEqual(['v1']);
	void clock.advance(400);
	expect(list(0.9)).toEqual(['v2']);
	const {clock: laterClock, list: listWithoutNew} = createRouting(status, ['v1', 'v3']);
	void laterClock.advance(400);
	expect(listWithoutNew(0.9)).toEqual(['v1']);
});

test('guards against a bound stream that goes on at a version that is bad or stands in no order', () => {
	const {routing, orders} = createRouting({});
	const listBound = () => versions.filter(version => routing.allows(service, undefined, version)).map(String);
	expect(listBound()).toEqual(['v1', 'v2']);
	orders.stop(orders.find(service)!, 'failures');
	expect(listBound()).toEqual(['v1']);
});

test('guards against an old target without a stated version that is taken for another version after its restart', () => {
	const before = `${unstatedVersionPrefix}a/1` as SoftwareVersion;
	const {routing} = createRouting({previous: [before]});
	expect(routing.allows(service, 'previous', `${unstatedVersionPrefix}a/2` as SoftwareVersion)).toEqual(true);
});

test('counts calls left at old targets, and what was sent since the order', () => {
	const {clock, fleet, orders, evidence, routing} = createRouting({stage: 'shift', share: 0.04});
	const rollout = orders.find(service)!;
	expect(routing.countCallsLeft(rollout)).toEqual(1);
	void clock.advance(400);
	const [target, newTarget] = ['v1', 'v2'].map(id => fleet.locate(id as TargetId)!);
	const route = createRoute('r').id;
	const early = target!.beginCall(0, 500 as MonotonicMs);
	const late = newTarget!.beginCall(0, clock.readMonotonic());
	expect(routing.countCallsLeft(rollout)).toEqual(1);
	routing.recordEnded({target: target!, route, call: early}, 'good');
	routing.recordSent({target: newTarget!, route, call: late});
	routing.recordEnded({target: newTarget!, route, call: late}, 'failed');
	const cells = [...evidence.get(rollout).own.readCells(clock.readMonotonic())];
	expect(cells.map(([key, {sent, answers, failures}]) => [key.split(' ')[0], sent, answers, failures])).toEqual([['new', 1, 1, 1]]);
});
