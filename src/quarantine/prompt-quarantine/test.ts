import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createFleetTarget, testModel} from '../../fixtures/create-fleet-target/index.js';
import {createMember} from '../../fixtures/create-member/index.js';
import {simulateCrashingPrompt, type CrashSimulation} from '../../fixtures/simulate-crashing-prompt/index.js';
import type {TargetState} from '../../fleet/probe-target/index.js';
import type {EngineWork} from '../../forwarding/call-types/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {FakeDatagramNetwork} from '../../peers/fake-datagram-network/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {createPartKey} from '../part-key/index.js';
import {initialDurationMs} from '../quarantine-register/index.js';
import {PromptQuarantine} from './index.js';

const collection = 'quarantines';
const culpritKey: string = createPartKey(testModel, 'culprit');
const seeds = [1, 2, 3, 4, 5, 6];
/** Requests with a culprit that may still reach engines later than 3 s after the fifth crash. */
const permittedLateCulprits = 3;
/** Time from sending a call to the crash of its engine, in milliseconds. */
const callMs = 100;
/** Time in which a crash is confirmed, and in which instances tell each other of a quarantine, in milliseconds. */
const probeMs = 150;
const spreadMs = 1000;

/** Creates the parameters of a simulation like the played incident: 8 engines, two prompts with the culprit a second among sound calls. */
function createSimulation(changes: Partial<CrashSimulation> = {}): CrashSimulation {
	return {
		instances: 9, engines: 8, culpritsPerSecond: 2, culpritGroupSize: 1, culpritsFromMs: 3000, soundCallsPerSecond: 20, seconds: 16,
		culpritDepth: 1, lossShare: 0.05,
		otherCrashIntervalMs: 0, otherCrashesFromMs: 3000, commonCrashAtMs: 0, restartAtMs: 0, isGuarded: true, seed: 1, ...changes,
	};
}

/** Creates the work of a call whose prompt has the given parts. */
function createWork(...ids: readonly string[]): EngineWork {
	return {
		model: testModel, promptTokens: 300, maximumOutputTokens: 20, parts: ids.map(id => ({id, tokens: 100})),
	};
}

/** Creates two instances with one object API, whose probes find targets in `state`. */
function createPair(logger: EventLogger = quietLogger, state: TargetState = 'unknown') {
	const clock = new ManualClock();
	const network = new FakeDatagramNetwork();
	const objectApi = new MemoryObjectApi();
	const members = ['a', 'b'].map(id => createMember(id));
	const guards = members.map((member, index) => new PromptQuarantine({
		self: member.id, clock, logger, random: new RandomSource(index + 1), channel: network.open(member.id),
		listPeers: () => members.filter(other => other !== member), objectApi, remover: objectApi, collection,
		probe: async () => state,
	}));
	let engines = 0;
	return {
		clock, objectApi,
		first: guards[0]!, second: guards[1]!,
		/** Crashes one engine after the other by calls with the culprit at an instance. */
		async crashEngines(guard: PromptQuarantine, count: number) {
			for (let index = 0; index < count; index += 1) {
				const sentAt = clock.readMonotonic();
				engines += 1;
				await clock.advance(callMs);
				guard.recordBrokenAnswer(createWork('root', 'culprit', 'own'), createFleetTarget(`e${engines}`), sentAt, clock.readMonotonic());
				await clock.advance(callMs);
			}
		},
		/** The same with engines that end before the head of their answers. */
		async breakConnections(guard: PromptQuarantine, count: number) {
			for (let index = 0; index < count; index += 1) {
				const sentAt = clock.readMonotonic();
				engines += 1;
				await clock.advance(callMs);
				guard.recordBrokenConnection(createWork('root', 'culprit', 'own'), createFleetTarget(`e${engines}`), sentAt, clock.readMonotonic());
				await clock.advance(callMs + probeMs);
			}
		},
		isRejected: (guard: PromptQuarantine) => guard.findRejection(createWork('root', 'culprit', 'own'), false, clock.readMonotonic()) !== undefined,
		/** Whether even a call with a trial is rejected. */
		isQuarantined: (guard: PromptQuarantine) => guard.findRejection(createWork('root', 'culprit', 'own'), true, clock.readMonotonic()) !== undefined,
		async refresh() {
			const {items, resourceVersion} = await objectApi.list(collection);
			for (const guard of guards) {
				guard.replaceStored(items, resourceVersion);
			}

			return items.map(({name}) => name);
		},
	};
}

test('guards against a part that crashes engines before the head of an answer, which is no evidence, and resets that are taken for crashes', async () => {
	const ended = createPair(quietLogger, 'down');
	await ended.breakConnections(ended.first, 5);
	await ended.clock.advance(spreadMs);
	expect([ended.isRejected(ended.first), ended.isRejected(ended.second)]).toEqual([true, true]);
	const alive = createPair(quietLogger, 'up');
	await alive.breakConnections(alive.first, 5);
	await alive.clock.advance(spreadMs);
	expect([alive.isRejected(alive.first), alive.isRejected(alive.second)]).toEqual([false, false]);
});

test('guards against a prompt part that crashes engine after engine: no call with it reaches an engine 3 s after the fifth crash, and sound calls go on', async () => {
	const unguarded = await simulateCrashingPrompt(createSimulation({isGuarded: false}));
	expect(unguarded.lateCulprits > 10).toEqual(true);
	for (const culpritDepth of [0, 1]) {
		for (const seed of seeds) {
			const {lateCulprits, rejectedSoundCalls, quarantinedParts, crashes} = await simulateCrashingPrompt(createSimulation({culpritDepth, seed}));
			expect({lateCulprits, rejectedSoundCalls, quarantinedParts}).toEqual({lateCulprits: 0, rejectedSoundCalls: 0, quarantinedParts: [culpritKey]});
			expect(crashes <= 8).toEqual(true);
		}
	}
});

for (const [name, changes] of [
	['when a third of the datagrams is lost', {lossShare: 0.33}],
	['with two instances and lost datagrams', {instances: 2, lossShare: 0.33}],
	['when engines crash for another reason at the same time', {otherCrashIntervalMs: 2000, otherCrashesFromMs: 0}],
	['when all engines crash at one instant for another reason', {commonCrashAtMs: 4000}],
	['with few sound calls', {soundCallsPerSecond: 3}],
	['with many calls with the culprit', {culpritsPerSecond: 10}],
	['with a call with the culprit every 3 s', {culpritsPerSecond: 0.33, seconds: 40}],
	['with 100 instances', {
		instances: 100, engines: 60, soundCallsPerSecond: 100, seconds: 10,
	}],
] as const) {
	test(`finds the culprit ${name}, and quarantines nothing else`, async () => {
		for (const seed of seeds) {
			const {lateCulprits, rejectedSoundCalls, quarantinedParts} = await simulateCrashingPrompt(createSimulation({...changes, seed}));
			expect({lateCulprits, rejectedSoundCalls, quarantinedParts}).toEqual({lateCulprits: 0, rejectedSoundCalls: 0, quarantinedParts: [culpritKey]});
		}
	});
}

test('guards against a part that goes on to crash engines because its calls come several at once and crash them at one instant', async () => {
	for (const [culpritGroupSize, culpritDepth] of [[3, 1], [5, 0], [5, 1], [8, 1]] as const) {
		for (const seed of seeds) {
			const {lateCulprits, rejectedSoundCalls, quarantinedParts} = await simulateCrashingPrompt(createSimulation({
				instances: 8, engines: 6, culpritGroupSize, culpritDepth, culpritsPerSecond: culpritGroupSize / 8, culpritsFromMs: 1000, seconds: 50, seed,
			}));
			expect({rejectedSoundCalls, quarantinedParts}).toEqual({rejectedSoundCalls: 0, quarantinedParts: [culpritKey]});
			expect(lateCulprits <= permittedLateCulprits).toEqual(true);
		}
	}
});

for (const [name, changes] of [
	['after a crash of all engines at one instant', {commonCrashAtMs: 5000}],
	['after crashes one by one for another reason', {otherCrashIntervalMs: 1000}],
	['after crashes in quick succession for another reason, with few calls', {otherCrashIntervalMs: 250, soundCallsPerSecond: 5}],
] as const) {
	test(`guards against a quarantine of innocent parts ${name}`, async () => {
		for (const seed of seeds) {
			const {quarantinedParts} = await simulateCrashingPrompt(createSimulation({...changes, culpritsPerSecond: 0, seed}));
			expect(quarantinedParts).toEqual([]);
		}
	});
}

test('guards against an instance that forgets quarantines when it restarts', async () => {
	for (const seed of seeds) {
		const {culpritsAfterRestart} = await simulateCrashingPrompt(createSimulation({restartAtMs: 10_000, lossShare: 0.33, seed}));
		expect(culpritsAfterRestart).toEqual(0);
	}
});

test('guards against a large fleet that floods network and object API at a quarantine', async () => {
	const {datagrams, storeWrites} = await simulateCrashingPrompt(createSimulation({
		instances: 100, engines: 60, soundCallsPerSecond: 100, seconds: 10,
	}));
	expect(datagrams / 100 < 200).toEqual(true);
	expect(storeWrites <= 3).toEqual(true);
});

test('quarantines a part for 10 minutes, for twice as long at the first crash after that, and no more after a complete answer', async () => {
	const {clock, first, second, crashEngines, isRejected, isQuarantined, refresh} = createPair();
	await crashEngines(first, 4);
	await clock.advance(200);
	expect([first, second].map(guard => isRejected(guard))).toEqual([true, true]);
	await refresh();
	await clock.advance(initialDurationMs);
	expect([first, second].map(guard => [isQuarantined(guard), isRejected(guard)])).toEqual([[false, true], [false, true]]);
	await crashEngines(second, 1);
	expect([first, second].map(guard => isRejected(guard))).toEqual([true, true]);
	await clock.advance(1000);
	await refresh();
	await clock.advance((2 * initialDurationMs) - 5000);
	expect([first, second].map(guard => isRejected(guard))).toEqual([true, true]);
	await clock.advance(10_000);
	second.recordCompleteAnswer(createWork('root', 'culprit', 'own'), clock.readMonotonic());
	await clock.advance(1000);
	expect(await refresh()).toEqual([]);
	await crashEngines(first, 1);
	expect([first, second].map(guard => isRejected(guard))).toEqual([false, false]);
});

test('guards against calls with a part on probation that come several at once: one in the fleet is sent, and its crash renews the quarantine', async () => {
	const {clock, first, second, crashEngines, isQuarantined} = createPair();
	await crashEngines(first, 4);
	await clock.advance(initialDurationMs + 200);
	const work = createWork('root', 'culprit', 'own');
	const trials = Promise.all([first, second, first, second].map(async guard => guard.beginTrial(work)));
	await clock.advance(400);
	expect(await trials).toEqual([true, false, false, false]);
	await crashEngines(first, 1);
	await clock.advance(200);
	expect([first, second].map(guard => isQuarantined(guard))).toEqual([true, true]);
});

test('guards against a first part whose calls are refused after all engines crashed at one instant before any had answered: one complete answer clears it', async () => {
	const {clock, first, second, isRejected} = createPair();
	const work = createWork('root', 'culprit', 'own');
	for (let engine = 1; engine <= 6; engine += 1) {
		first.recordBrokenAnswer(work, createFleetTarget(`e${engine}`), clock.readMonotonic(), clock.readMonotonic());
	}

	await clock.advance(200);
	expect([first, second].map(guard => isRejected(guard))).toEqual([true, true]);
	const trial = second.beginTrial(work);
	await clock.advance(300);
	expect([await trial, second.findRejection(work, true, clock.readMonotonic())]).toEqual([true, undefined]);
	second.recordCompleteAnswer(work, clock.readMonotonic());
	await clock.advance(200);
	expect([first, second].map(guard => isRejected(guard))).toEqual([false, false]);
});

test('lifts a quarantine everywhere when a call that was in flight ends with a complete answer', async () => {
	const {clock, first, second, crashEngines, isRejected, refresh} = createPair();
	await crashEngines(first, 4);
	await clock.advance(200);
	await refresh();
	second.recordCompleteAnswer(createWork('root', 'culprit', 'own'), clock.readMonotonic());
	await clock.advance(3000);
	expect([first, second].map(guard => isRejected(guard))).toEqual([false, false]);
	expect(await refresh()).toEqual([]);
	expect([first, second].map(guard => isRejected(guard))).toEqual([false, false]);
});

test('guards against evidence that stays at other instances because two complete answers follow each other quickly', async () => {
	const {clock, first, second, crashEngines} = createPair();
	const work = createWork('root', 'other', 'own');
	await crashEngines(first, 1);
	first.recordCompleteAnswer(work, clock.readMonotonic());
	await clock.advance(50);
	first.recordBrokenAnswer(createWork('root', 'culprit', 'own'), createFleetTarget('e9'), clock.readMonotonic(), clock.readMonotonic());
	await clock.advance(50);
	first.recordCompleteAnswer(work, clock.readMonotonic());
	await clock.advance(500);
	expect(second.dump().suspected.map(({part}) => part as string)).toEqual([culpritKey]);
});

test('guards against a quarantine that returns at once after an operator has deleted its object', async () => {
	const {clock, objectApi, first, second, crashEngines, isRejected, refresh} = createPair();
	await crashEngines(first, 4);
	await clock.advance(2000);
	const [name] = await refresh();
	await objectApi.remove(collection, name!);
	await refresh();
	await clock.advance(10_000);
	expect([first, second].map(guard => isRejected(guard))).toEqual([false, false]);
	expect(await refresh()).toEqual([]);
	await crashEngines(first, 1);
	expect(isRejected(first)).toEqual(false);
});

test('guards against a log that tells of a quarantine which is not in force because one that began as late was lifted', async () => {
	const events: string[] = [];
	const logger: EventLogger = {
		...quietLogger,
		warn(event) {
			events.push(event);
		},
	};
	const {objectApi, first, crashEngines, isQuarantined, refresh} = createPair(logger);
	await crashEngines(first, 4);
	const [name] = await refresh();
	await objectApi.remove(collection, name!);
	await refresh();
	events.length = 0;
	await crashEngines(first, 4);
	expect([isQuarantined(first), events.includes('prompt part quarantined')]).toEqual([false, false]);
});

test('shows quarantined and suspected parts in the dump and in gauges', async () => {
	const {clock, first, second, crashEngines, isRejected} = createPair();
	await crashEngines(first, 2);
	expect(second.dump().suspected.map(({part, crashes}) => [part as string, crashes])).toEqual([[culpritKey, 2], [createPartKey(testModel, 'root'), 2]]);
	await crashEngines(first, 2);
	await clock.advance(200);
	isRejected(second);
	const {quarantined, suspected, rejectedCalls} = second.dump();
	expect([quarantined.map(({part, crashes}) => [part as string, crashes]), suspected, rejectedCalls]).toEqual([[[culpritKey, 4]], [], 1]);
	expect(Object.values(second.gauges).map(gauge => gauge.read())).toEqual([1, 1]);
});

test('says for how long calls are rejected', async () => {
	const {clock, first, crashEngines} = createPair();
	await crashEngines(first, 4);
	await clock.advance(60_000);
	const {remainingMs} = first.findRejection(createWork('root', 'culprit', 'own'), false, clock.readMonotonic())!;
	expect(remainingMs > 535_000 && remainingMs < 545_000).toEqual(true);
	expect(first.findRejection(createWork('root', 'other', 'own'), false, 60_000 as MonotonicMs)).toEqual(undefined);
	expect(first.findRejection(createWork('root', 'culprit'), false, 60_000 as MonotonicMs)).toEqual(undefined);
});
