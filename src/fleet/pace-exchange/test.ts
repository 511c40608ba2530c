import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {PaceEntry} from '../load-messages/index.js';
import {TargetFleet} from '../target-fleet/index.js';
import {maximumPaces, PaceExchange} from './index.js';

const now = 0 as MonotonicMs;
const targetCount = 40;

function createExchange(isEnabled = true) {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace(Array.from({length: targetCount}, (_, index) => createDescription(`t${index}`)), now);
	return {fleet, paces: new PaceExchange(fleet, () => isEnabled)};
}

test('guards against messages that grow with the number of targets: what has no room waits for the next message', () => {
	const {fleet, paces} = createExchange();
	for (const {speed} of fleet.list()) {
		speed.recordOwn({workTokens: 1000, ms: 20}, now);
	}

	const first = paces.takeOwn(now);
	const second = paces.takeOwn(now);
	expect(first.length).toEqual(maximumPaces);
	expect(new Set([...first, ...second].map(([id]) => id)).size).toEqual(targetCount);
	paces.keep(first, 'fleet');
	paces.keep(second, 'fleet');
	paces.keep(first, 'fleet');
	const sums = [...paces.take('fleet'), ...paces.take('fleet')];
	expect(sums.length).toEqual(targetCount);
	expect(sums[0]).toEqual([first[0]![0], 2000, 40]);
	expect(paces.take('dataCentre')).toEqual([]);
});

test('guards against a deployment that did not ask for it and gets new fields in messages', () => {
	const {fleet, paces} = createExchange(false);
	fleet.locate('t1' as TargetId)!.speed.recordOwn({workTokens: 1000, ms: 20}, now);
	expect(paces.takeOwn(now)).toEqual([]);
});

test('learns from other instances, and ignores reports of the previous release and of unknown targets', () => {
	const {fleet, paces} = createExchange();
	const slow: PaceEntry = ['t1' as TargetId, 100_000, 4000];
	paces.record([['t2' as TargetId, 100_000, 2000], slow, ['gone' as TargetId, 1000, 20]], now);
	paces.record(undefined, now);
	paces.keep(undefined, 'fleet');
	expect(fleet.locate('t1' as TargetId)!.speed.read(now) < 0.9).toEqual(true);
	expect(paces.take('fleet')).toEqual([]);
});
