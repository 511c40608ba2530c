import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {TargetRetention} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const listed = (...ids: string[]) => new Map(ids.map(id => [id, createDescription(id)]));

test('guards against dropping live targets whose entries lapsed during an interruption', () => {
	const retention = new TargetRetention();
	retention.complete(listed('a', 'b'), at(0));
	retention.noteState(true, at(1000));
	expect([...retention.complete(listed('a'), at(2000)).keys()].toSorted()).toEqual(['a', 'b']);
	expect(retention.noteState(false, at(3000))).toEqual(false);
	expect(retention.noteState(false, at(3200))).toEqual(true);
	expect([...retention.complete(listed('a'), at(3200)).keys()]).toEqual(['a']);
});

test('guards against calls to targets that were removed in quiet times, or announced that they leave', () => {
	const retention = new TargetRetention();
	const leaving = new Map([...listed('a'), ['b', createDescription('b', {isLeaving: true})] as const]);
	retention.complete(leaving, at(0));
	expect([...retention.complete(listed('a'), at(100)).keys()]).toEqual(['a']);
	retention.complete(leaving, at(200));
	retention.noteState(true, at(300));
	expect([...retention.complete(listed('a'), at(400)).keys()]).toEqual(['a']);
});
