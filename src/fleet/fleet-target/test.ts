import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget, testModel} from '../../fixtures/create-fleet-target/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {silenceTimeoutMs} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

test('guards against a cooldown after a single failure, and against none for a target that keeps failing', () => {
	const target = createFleetTarget('t');
	target.recordFailure(at(0));
	expect(target.isInCooldown(at(1))).toEqual(false);
	target.recordFailure(at(10));
	expect(target.isInCooldown(at(20))).toEqual(true);
	expect(target.isInCooldown(at(2000))).toEqual(false);
});

test('guards against sending more calls to an address where nothing listens', () => {
	const target = createFleetTarget('t');
	target.recordUnreachable(at(0));
	expect(target.isInCooldown(at(500))).toEqual(true);
});

test('guards against treating a busy target as silent while it answers other calls', () => {
	const target = createFleetTarget('t');
	const call = target.beginCall(5000, at(0));
	expect(target.isSilent(at(silenceTimeoutMs + 1))).toEqual(true);
	target.recordReceivedBytes(at(silenceTimeoutMs));
	expect(target.isSilent(at(silenceTimeoutMs + 1))).toEqual(false);
	target.endCall(call);
	expect(target.isSilent(at(10 * silenceTimeoutMs))).toEqual(false);
});

test('adds the loads of other instances until their reports expire', () => {
	const target = createFleetTarget('t');
	target.beginCall(3000, at(0));
	const ownLoad = target.measureLoad(at(0));
	target.recordRemoteLoad('other' as InstanceId, {calls: 2, prefillTokens: 1000, memoryTokens: 0}, {expiresAt: at(1000)});
	expect(target.measureLoad(at(100))).toEqual(ownLoad + 1800);
	expect(target.measureLoad(at(2000))).toEqual(ownLoad);
});

test('guards against an observed version that hides a newer announced one', () => {
	const target = createFleetTarget('t');
	target.recordVersion(testModel, 2);
	expect(target.readVersion(testModel)).toEqual(2);
	target.description = {...target.description, weightsVersions: new Map([[testModel, 3]])};
	expect(target.readVersion(testModel)).toEqual(3);
});
