import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {TargetRetention} from './index.js';

const toMonotonicMs = (ms: number) => ms as MonotonicMs;
const createListedTargets = (...ids: string[]) => new Map(ids.map(id => [id, createDescription(id)]));

test('guards against dropping live targets whose entries expired during an interruption of the object API', () => {
	const retention = new TargetRetention();
	retention.addRetainedTargets(createListedTargets('a', 'b'), toMonotonicMs(0));
	retention.updateInterruption(true, toMonotonicMs(1000));
	expect([...retention.addRetainedTargets(createListedTargets('a'), toMonotonicMs(2000)).keys()].toSorted()).toEqual(['a', 'b']);
	expect(retention.updateInterruption(false, toMonotonicMs(3000))).toEqual(false);
	expect(retention.updateInterruption(false, toMonotonicMs(3200))).toEqual(true);
	expect([...retention.addRetainedTargets(createListedTargets('a'), toMonotonicMs(3200)).keys()]).toEqual(['a']);
});

test('guards against calls to targets that were removed while the object API was available, or that announced that they are leaving', () => {
	const retention = new TargetRetention();
	const leaving = new Map([...createListedTargets('a'), ['b', createDescription('b', {isLeaving: true})] as const]);
	retention.addRetainedTargets(leaving, toMonotonicMs(0));
	expect([...retention.addRetainedTargets(createListedTargets('a'), toMonotonicMs(100)).keys()]).toEqual(['a']);
	retention.addRetainedTargets(leaving, toMonotonicMs(200));
	retention.updateInterruption(true, toMonotonicMs(300));
	expect([...retention.addRetainedTargets(createListedTargets('a'), toMonotonicMs(400)).keys()]).toEqual(['a']);
});
