import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import {createMember} from '../../fixtures/create-member/index.js';
import {simulateCrashingRequest, type RequestCrashSimulation} from '../../fixtures/simulate-crashing-request/index.js';
import type {TargetState} from '../../fleet/probe-target/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {FakeDatagramNetwork} from '../../peers/fake-datagram-network/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {firstDurationMs} from '../plan-request-duration/index.js';
import {hashRequest, type RequestKey} from '../request-key/index.js';
import {objectionMs, trialIntervalMs} from '../trial-register/index.js';
import {RequestQuarantine} from './index.js';

const collection = 'quarantines';
const seeds = [1, 2, 3, 4];
const maximumLateRuns = 3;
/** Time from sending a request to the crash of its target, in milliseconds. */
const callMs = 100;

/** Creates the parameters of a simulation like the played incident: three targets and one request that crashes them, twice a second. */
function createSimulation(changes: Partial<RequestCrashSimulation> = {}): RequestCrashSimulation {
	return {
		instances: 9, targets: 3, culpritsPerSecond: 2, culpritsAtOnce: 1, soundCallsPerSecond: 20, isSoundRequestShared: false, commonCrashAtMs: 0,
		seconds: 30, lossShare: 0.05, isGuarded: true, seed: 1, ...changes,
	};
}

function createKey(path: string): RequestKey {
	return hashRequest({
		method: 'POST', host: 'a.example', path, organisation: undefined, body: undefined,
	});
}

/** Creates two instances with one object API, before targets in the given state. */
function createPair() {
	const clock = new ManualClock();
	const state: {probe: TargetState; isCut: boolean} = {probe: 'down', isCut: false};
	const network = new FakeDatagramNetwork(() => state.isCut);
	const objectApi = new MemoryObjectApi();
	const members = ['a', 'b'].map(id => createMember(id));
	const createGuard = (index: number) => new RequestQuarantine({
		clock, logger: quietLogger, random: new RandomSource(index + 1), self: members[index]!.id, channel: network.open(members[index]!.id),
		listPeers: () => members.filter((_, other) => other !== index), objectApi, remover: objectApi, collection, probe: async () => state.probe,
	});
	const key = createKey('/culprit');
	let targets = 0;
	return {
		clock, state, objectApi, createGuard, key, readKey: () => key,
		first: createGuard(0), second: createGuard(1),
		/** Breaks the connections to one target after the other while they run the request. */
		async breakTargets(guard: RequestQuarantine, count: number, broken = key) {
			for (let index = 0; index < count; index += 1) {
				const sentAt = clock.readMonotonic();
				targets += 1;
				await clock.advance(callMs);
				guard.recordBrokenConnection(() => broken, createFleetTarget(`t${targets}`), sentAt, clock.readMonotonic());
				await clock.advance(callMs);
			}

			await clock.advance(3 * callMs);
		},
		isRejected: (guard: RequestQuarantine) => guard.findRejection(() => key, clock.readMonotonic()) !== undefined,
	};
}

test('guards against one request that crashes target after target: it reaches at most three targets later than 3 s after the third crash', async () => {
	const unguarded = await simulateCrashingRequest(createSimulation({isGuarded: false}));
	expect(unguarded.lateCulprits > 10).toEqual(true);
	const variants = [{}, {culpritsAtOnce: 3}, {culpritsPerSecond: 10}, {culpritsPerSecond: 0.5, targets: 8}, {lossShare: 0.3}, {isSoundRequestShared: true}];
	for (const changes of variants) {
		for (const seed of seeds) {
			const {lateCulprits, lastCalls, servedLastCalls, quarantinedSoundRequests} = await simulateCrashingRequest(createSimulation({...changes, seed}));
			expect(lateCulprits <= maximumLateRuns).toEqual(true);
			expect(servedLastCalls >= 0.9 * lastCalls).toEqual(true);
			expect(quarantinedSoundRequests).toEqual(0);
		}
	}
});

test('keeps to the bound with 77 and 195 instances, with few writes to the object API', async () => {
	for (const instances of [77, 195]) {
		const {lateCulprits, storeWrites} = await simulateCrashingRequest(createSimulation({instances, targets: 12, seconds: 20}));
		expect([lateCulprits <= maximumLateRuns, storeWrites < 20]).toEqual([true, true]);
	}
});

test('guards against a quarantine of a common request when all targets end at one instant: it is served again soon after', async () => {
	for (const seed of seeds) {
		const result = await simulateCrashingRequest(createSimulation({
			culpritsPerSecond: 0, commonCrashAtMs: 10_000, isSoundRequestShared: true, soundCallsPerSecond: 60, seed,
		}));
		expect([result.quarantinedSoundRequests, result.servedLastCalls >= 0.9 * result.lastCalls]).toEqual([0, true]);
	}
});

test('guards against knowledge that stays at one instance, and is lost with it', async () => {
	const {first, second, breakTargets, isRejected, objectApi, createGuard, clock} = createPair();
	await breakTargets(first, 2);
	expect([isRejected(first), isRejected(second)]).toEqual([false, false]);
	await breakTargets(second, 1);
	expect([isRejected(first), isRejected(second)]).toEqual([true, true]);
	await clock.advance(1000);
	const {items, resourceVersion} = await objectApi.list(collection);
	const restarted = createGuard(0);
	restarted.replaceStored(items, resourceVersion);
	expect(isRejected(restarted)).toEqual(true);
});

test('takes a reset connection of a target that goes on to run for no crash', async () => {
	const {first, state, breakTargets, isRejected} = createPair();
	state.probe = 'up';
	await breakTargets(first, 6);
	state.probe = 'unknown';
	await breakTargets(first, 6);
	expect(isRejected(first)).toEqual(false);
});

test('guards against a sound request that stays in quarantine: one trial in the fleet lifts it everywhere', async () => {
	const {first, second, breakTargets, isRejected, readKey, clock} = createPair();
	await breakTargets(first, 3);
	await clock.advance(firstDurationMs);
	expect([isRejected(first), isRejected(second)]).toEqual([true, true]);
	const trials = Promise.all([first.beginTrial(readKey), second.beginTrial(readKey)]);
	await clock.advance(objectionMs);
	expect(await trials).toEqual([true, false]);
	first.recordTrialSent(readKey);
	first.recordCompleteAnswer(readKey, clock.readMonotonic());
	await clock.advance(callMs);
	expect([isRejected(first), isRejected(second)]).toEqual([false, false]);
	await clock.advance(trialIntervalMs);
	expect([isRejected(first), isRejected(second)]).toEqual([false, false]);
});

test('guards against trials without end: each one that fails makes the next quarantine longer', async () => {
	const {first, second, breakTargets, readKey, clock} = createPair();
	await breakTargets(first, 3);
	let trials = 0;
	for (let minute = 0; minute < 24 * 60; minute += 1) {
		await clock.advance(60_000);
		for (const guard of [first, second]) {
			const trial = guard.beginTrial(readKey);
			await clock.advance(objectionMs);
			if (await trial) {
				trials += 1;
				guard.recordTrialSent(readKey);
				await clock.advance(trialIntervalMs);
			}
		}
	}

	expect(trials).toEqual(2);
});

test('clears a request of its crashes when it gets a complete answer anywhere', async () => {
	const {first, second, breakTargets, isRejected, readKey, clock} = createPair();
	await breakTargets(first, 2);
	second.recordCompleteAnswer(readKey, clock.readMonotonic());
	await clock.advance(callMs);
	await breakTargets(first, 2);
	expect(isRejected(first)).toEqual(false);
	expect(first.isSuspicious(readKey, clock.readMonotonic())).toEqual(true);
	await breakTargets(first, 1);
	expect(isRejected(second)).toEqual(true);
});

test('guards against crashes after a complete answer that are forgotten when the object of the lifted quarantine is removed', async () => {
	const {first, breakTargets, isRejected, readKey, clock, objectApi} = createPair();
	const refresh = async () => {
		const {items, resourceVersion} = await objectApi.list(collection);
		first.replaceStored(items, resourceVersion);
		return items.length;
	};

	await breakTargets(first, 3);
	expect(await refresh()).toEqual(1);
	first.recordCompleteAnswer(readKey, clock.readMonotonic());
	await breakTargets(first, 2);
	expect(await refresh()).toEqual(0);
	expect(first.isSuspicious(readKey, clock.readMonotonic())).toEqual(true);
	await clock.advance(firstDurationMs);
	await breakTargets(first, 1);
	expect(isRejected(first)).toEqual(true);
});

test('guards against a repeated notice of a quarantine that a complete answer has refuted meanwhile', async () => {
	const {first, second, state, breakTargets, isRejected, readKey, clock} = createPair();
	await breakTargets(first, 2);
	const sentAt = clock.readMonotonic();
	await clock.advance(callMs);
	state.isCut = true;
	first.recordBrokenConnection(readKey, createFleetTarget('t9'), sentAt, clock.readMonotonic());
	await clock.advance(2 * callMs);
	expect([isRejected(first), isRejected(second)]).toEqual([true, false]);
	state.isCut = false;
	first.recordCompleteAnswer(readKey, clock.readMonotonic());
	await clock.advance(trialIntervalMs);
	expect([isRejected(first), isRejected(second)]).toEqual([false, false]);
});
