import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';

const at = (ms: number) => ms as MonotonicMs;

test('guards against a rush to a target that has fallen over and comes back: it counts as brittle until an answer says otherwise', () => {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('t1'), createDescription('t2')], at(0));
	const locate = (id: string) => fleet.locate(id as TargetId)!;
	locate('t1').brittleness.recordStated(8, at(10));
	fleet.replace([createDescription('t2')], at(20));
	expect(locate('t2').brittleness.read()).toEqual(undefined);
	fleet.replace([createDescription('t1', {startedAt: 2}), createDescription('t2'), createDescription('t3', {service: 'other' as ServiceId})], at(3000));
	expect([locate('t1').brittleness.read(), locate('t3').brittleness.read()]).toEqual([8, undefined]);
	locate('t1').brittleness.recordAbsent(at(3001));
	expect(locate('t1').needsPermit).toEqual(false);
	fleet.replace([createDescription('t2')], at(3100));
	fleet.replace([createDescription('t1', {startedAt: 3})], at(64_000));
	expect(locate('t1').brittleness.read()).toEqual(undefined);
});
