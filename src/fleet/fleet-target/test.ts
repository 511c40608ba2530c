import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget, testModel} from '../../fixtures/create-fleet-target/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {silenceMs} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

test('guards against avoiding a target for one failure, and against going on with one that keeps failing', () => {
	const target = createFleetTarget('t');
	target.noteFailure(at(0));
	expect(target.isAvoided(at(1))).toEqual(false);
	target.noteFailure(at(10));
	expect(target.isAvoided(at(20))).toEqual(true);
	expect(target.isAvoided(at(2000))).toEqual(false);
});

test('guards against sending more calls to an address where nothing listens', () => {
	const target = createFleetTarget('t');
	target.noteUnreachable(at(0));
	expect(target.isAvoided(at(500))).toEqual(true);
});

test('guards against taking a busy target that answers other calls for a silent one', () => {
	const target = createFleetTarget('t');
	const call = target.beginCall(5000, at(0));
	expect(target.isSilent(at(silenceMs + 1))).toEqual(true);
	target.noteHeard(at(silenceMs));
	expect(target.isSilent(at(silenceMs + 1))).toEqual(false);
	target.endCall(call);
	expect(target.isSilent(at(10 * silenceMs))).toEqual(false);
});

test('adds the loads of other instances and forgets old reports', () => {
	const target = createFleetTarget('t');
	target.beginCall(3000, at(0));
	const own = target.measureLoad(at(0));
	target.noteRemoteLoad('other' as InstanceId, {calls: 2, prefillTokens: 1000, memoryTokens: 0}, at(1000));
	expect(target.measureLoad(at(100))).toEqual(own + 1800);
	expect(target.measureLoad(at(2000))).toEqual(own);
});

test('guards against using a version that a target had before its entry named a newer one', () => {
	const target = createFleetTarget('t');
	target.noteVersion(testModel, 2);
	expect(target.readVersion(testModel)).toEqual(2);
	target.description = {...target.description, weightsVersions: new Map([[testModel, 3]])};
	expect(target.readVersion(testModel)).toEqual(3);
});
