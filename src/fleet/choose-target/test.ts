import {test} from 'node:test';
import {expect} from 'earl';
import {createAnnouncedVersion} from '../../fixtures/create-announced-version/index.js';
import {createFleetTarget, testModel} from '../../fixtures/create-fleet-target/index.js';
import type {DataCentreId, InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {simulateFleet} from '../../fixtures/simulate-fleet/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {WeightsVersionHistory} from '../../rollout/weights-version-history/index.js';
import type {FleetTarget} from '../fleet-target/index.js';
import {chooseTarget, type TargetChoice} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

function createTargets(count: number): FleetTarget[] {
	return Array.from({length: count}, (_, index) => createFleetTarget(`t${index}`));
}

function createQuery(targets: readonly FleetTarget[], changes: Partial<TargetChoice> = {}): TargetChoice {
	return {
		targets, excluded: new Set(), model: testModel, versionHistory: undefined, sharedPrefix: undefined, holders: new Set(), memory: undefined,
		dataCentre: 'dc-1' as DataCentreId, draw: 0.5, ...changes,
	};
}

test('sends a call to the target that holds its prefix', () => {
	const targets = createTargets(6);
	const query = createQuery(targets, {sharedPrefix: {id: 'p', tokens: 6000}, holders: new Set([targets[4]!])});
	expect(chooseTarget(query, at(0)) === targets[4]).toEqual(true);
});

test('guards against overloading the home of a hot prefix: calls go elsewhere while it is busy and return when it is free', () => {
	const targets = createTargets(6);
	const query = createQuery(targets, {sharedPrefix: {id: 'hot', tokens: 6000}});
	const home = chooseTarget(query, at(0))!;
	const calls = Array.from({length: 5}, () => home.beginCall(3000, at(0)));
	const hotQuery = {...query, holders: new Set([home])};
	expect(chooseTarget(hotQuery, at(0)) === home).toEqual(false);
	for (const call of calls) {
		home.endCall(call);
	}

	expect(chooseTarget(hotQuery, at(0)) === home).toEqual(true);
});

test('guards against a burst at eight instances that piles up at one target: the busiest gets at most twice the mean', () => {
	const random = new RandomSource(7);
	const targets = createTargets(6);
	for (let index = 0; index < 60; index += 1) {
		const chosen = chooseTarget(createQuery(targets, {draw: random.pickIndex(1000) / 1000}), at(0))!;
		const {calls, prefillTokens} = chosen.readOwnLoad();
		chosen.recordRemoteLoad(`i${index % 8}` as InstanceId, {calls: 0, prefillTokens: 0, memoryTokens: 0}, {expiresAt: at(1000)});
		chosen.beginCall(800, at(0));
		expect(calls * 800).toEqual(prefillTokens);
	}

	expect(Math.max(...targets.map(target => target.calls.size)) <= 20).toEqual(true);
});

test('guards against overloading the first engine with new weights while answers on old weights still have value', () => {
	const targets = createTargets(6);
	const versionHistory = new WeightsVersionHistory();
	versionHistory.addVersion(createAnnouncedVersion(2, 7500, 0));
	targets[0]!.recordVersion(testModel, 2);
	targets[0]!.beginCall(9000, at(0));
	expect(chooseTarget(createQuery(targets, {versionHistory}), at(500)) === targets[0]).toEqual(false);
	targets[0]!.recordReceivedBytes(at(1900));
	expect(chooseTarget(createQuery(targets, {versionHistory}), at(2000)) === targets[0]).toEqual(true);
});

test('guards against starting a call on expired weights, even when no other engine is available', () => {
	const targets = createTargets(2);
	const versionHistory = new WeightsVersionHistory();
	versionHistory.addVersion(createAnnouncedVersion(2, 7500, 0));
	expect(chooseTarget(createQuery(targets, {versionHistory}), at(7400)) === undefined).toEqual(false);
	expect(chooseTarget(createQuery(targets, {versionHistory}), at(7500))).toEqual(undefined);
});

test('guards against choosing a target that is cordoned, already tried or without the model', () => {
	const targets = createTargets(3);
	targets[0]!.cordonedUntil = 100;
	targets[1]!.description = {...targets[1]!.description, weightsVersions: new Map()};
	expect(chooseTarget(createQuery(targets, {excluded: new Set([targets[2]!])}), at(50))).toEqual(undefined);
	expect(chooseTarget(createQuery(targets, {excluded: new Set([targets[2]!])}), at(150)) === targets[0]).toEqual(true);
});

test('chooses a target in its cooldown only when there is no healthy one', () => {
	const targets = createTargets(2);
	targets[0]!.recordUnreachable(at(0));
	expect(chooseTarget(createQuery(targets), at(10)) === targets[1]).toEqual(true);
	targets[1]!.recordUnreachable(at(0));
	expect(chooseTarget(createQuery(targets), at(10)) === undefined).toEqual(false);
});

test('guards against overfilling the remaining engines: calls beyond their memory wait until another call ends', () => {
	const targets = createTargets(2);
	const query = createQuery(targets, {memory: {callTokens: 9000, engineTokens: 100_000}});
	const endCalls: Array<() => void> = [];
	for (let target = chooseTarget(query, at(0)); target !== undefined; target = chooseTarget(query, at(0))) {
		const chosen = target;
		const call = chosen.beginCall(3000, at(0), 9000);
		endCalls.push(() => {
			chosen.endCall(call);
		});
	}

	expect(endCalls.length).toEqual(16);
	endCalls[0]!();
	expect(chooseTarget(query, at(0)) === undefined).toEqual(false);
	expect(chooseTarget({...query, memory: {callTokens: 800, engineTokens: 100_000}}, at(0)) === undefined).toEqual(false);
});

test('guards against a call that never runs because it exceeds the memory limit of every engine: an idle engine accepts it', () => {
	const targets = createTargets(1);
	expect(chooseTarget(createQuery(targets, {memory: {callTokens: 90_000, engineTokens: 100_000}}), at(0)) === targets[0]).toEqual(true);
});

const largeFleet = {
	instances: 62, engines: 63, callsPerSecond: 280, seconds: 8, stores: 3, subjects: 1600, firstEngines: 63, engineIntervalMs: 60, seed: 1,
};

test('guards against uneven load in a large fleet whose load reports are late: no engine gets three times the mean', async () => {
	const {busiestFactor, lateShare} = await simulateFleet(largeFleet);
	expect(busiestFactor < 3).toEqual(true);
	expect(lateShare < 0.01).toEqual(true);
});

test('guards against late answers after a rollout in a large fleet, with cold caches and 25 of 63 engines at first', async () => {
	const {lateShare} = await simulateFleet({...largeFleet, firstEngines: 25});
	expect(lateShare < 0.01).toEqual(true);
});
