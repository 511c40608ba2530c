import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import type {TargetId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {describeTarget} from '../describe-target/index.js';
import {LoadGauges} from './index.js';

test('guards against operators who cannot see that one target has most of the load, or is slow', () => {
	const clock = new ManualClock();
	const now = clock.readMonotonic();
	const fleet = new TargetFleet(quietLogger);
	fleet.replace(['t1', 't2', 't3', 't4'].map(id => createDescription(id)), now);
	const {gauges} = new LoadGauges(fleet, clock);
	expect(Object.values(gauges).map(({read}) => read())).toEqual([0, 1, 1]);
	const [busy, slow, other] = ['t1', 't2', 't3'].map(id => fleet.locate(id as TargetId)!);
	busy!.beginCall(9000, now);
	expect(gauges.target_load_spread!.read()).toEqual(4);
	slow!.speed.recordOwn({workTokens: 40_000, ms: 1600}, now);
	other!.speed.recordOwn({workTokens: 40_000, ms: 400}, now);
	expect(gauges.target_speed_lowest!.read() < 0.9).toEqual(true);
	expect(gauges.target_speed_highest!.read() > 1.1).toEqual(true);
	const {speed, estimatedLoadTokens} = describeTarget(slow!, now);
	expect(speed < 0.9).toEqual(true);
	expect(estimatedLoadTokens).toEqual(0);
});
