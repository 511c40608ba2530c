import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {FakeDatagramNetwork} from '../../peers/fake-datagram-network/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import type {QuarantineNotice} from '../message-fields/index.js';
import type {Quarantine} from '../quarantine-register/index.js';
import {QuarantineKeeper, type QuarantineKind} from './index.js';

type Key = 'a' | 'b' | 'c';

const collection = 'quarantines';
const durationMs = 60_000;
const longestStoreDelayMs = 6000;

/** Creates a kind of key of which two quarantines are stored, and which logs to `events`. */
function createKind(events: string[]): QuarantineKind<Key> {
	return {
		codec: {
			formatName: key => key,
			describe: key => ({key}),
			parse: ({key}) => key as Key,
		},
		planDuration: previousMs => (previousMs ?? durationMs / 2) * 2,
		maximumStored: 2,
		logDecision({key}, source) {
			events.push(`decision ${key} ${source}`);
		},
		logAdoption({key}, source) {
			events.push(`adoption ${key} ${source}`);
		},
		logLift(key, reason) {
			events.push(`lift ${key} ${reason}`);
		},
	};
}

/** Creates a keeper, with what it logs, announces and stores. */
function createKeeper({completedAt = Number.NEGATIVE_INFINITY}: {readonly completedAt?: number} = {}) {
	const clock = new ManualClock(1000);
	const objectApi = new MemoryObjectApi();
	const events: string[] = [];
	const announced: Array<QuarantineNotice<Key>> = [];
	const keeper = new QuarantineKeeper<Key>({
		clock, logger: quietLogger, random: new RandomSource(1), channel: new FakeDatagramNetwork().open('i1'), listPeers: () => [],
		objectApi, remover: objectApi, collection, kind: createKind(events),
		evidence: {
			hasCompletedSince: (_key, since) => completedAt >= since,
			forget(key) {
				events.push(`forget ${key}`);
			},
		},
		announce(notice) {
			announced.push(notice);
		},
	});
	const listStored = async () => {
		const {items} = await objectApi.list(collection);
		return items.map(({name}) => name);
	};

	return {
		clock, keeper, events, announced, objectApi, listStored,
		quarantine: (key: Key, source: 'own' | 'peer') => keeper.quarantine({key, crashes: 3, sequentialCrashes: 3}, source, clock.readMonotonic()),
		async refresh() {
			const {items, resourceVersion} = await objectApi.list(collection);
			keeper.replaceStored(items, resourceVersion);
		},
	};
}

/** Creates a quarantine that begins now. */
function createQuarantine(key: Key, clock: ManualClock): Quarantine<Key> {
	return {
		key, crashes: 3, durationMs, endsAt: clock.readMonotonic() + durationMs as MonotonicMs,
	};
}

test('guards against a quarantine that spreads too late: what this instance saw itself is announced and stored at once', async () => {
	const {clock, announced, events, quarantine, listStored} = createKeeper();
	expect(quarantine('a', 'own')).toEqual(true);
	expect(announced.map(({quarantine: {key}}) => key)).toEqual(['a']);
	await clock.advance(1);
	expect(await listStored()).toEqual(['a']);
	expect(events).toEqual(['decision a own']);
});

test('refuses a quarantine that begins together with a lifted one, and neither logs nor announces it', () => {
	const {keeper, announced, events, quarantine} = createKeeper();
	quarantine('a', 'own');
	keeper.lift('a', 'completed');
	expect([quarantine('a', 'own'), keeper.isCulprit('a'), announced.length]).toEqual([false, false, 1]);
	expect(events).toEqual(['decision a own', 'lift a completed']);
});

test('guards against a fleet that announces and stores the same quarantine many times: who hears of it meanwhile does neither', async () => {
	const {clock, keeper, announced, objectApi, quarantine, refresh, listStored} = createKeeper();
	quarantine('a', 'peer');
	expect(announced).toEqual([]);
	keeper.applyNotice({quarantine: createQuarantine('a', clock), decidedAt: clock.readMonotonic()}, clock.readMonotonic());
	await objectApi.create(collection, 'a', {
		key: 'a', crashes: 3, until: clock.readWall() + durationMs, durationMs,
	});
	await refresh();
	const before = await objectApi.get(collection, 'a');
	await clock.advance(longestStoreDelayMs);
	expect(announced).toEqual([]);
	const after = await objectApi.get(collection, 'a');
	expect([await listStored(), after.resourceVersion]).toEqual([['a'], before.resourceVersion]);
});

test('guards against a quarantine that is lost with the instance which decided on it: one that heard of it stores it later', async () => {
	const {clock, keeper, events, listStored} = createKeeper();
	keeper.applyNotice({quarantine: createQuarantine('a', clock), decidedAt: clock.readMonotonic()}, clock.readMonotonic());
	await clock.advance(longestStoreDelayMs);
	expect([events, await listStored()]).toEqual([['adoption a peer'], ['a']]);
});

test('guards against a notice that a complete answer has refuted', () => {
	const {clock, keeper, events} = createKeeper({completedAt: 1000});
	keeper.applyNotice({quarantine: createQuarantine('a', clock), decidedAt: 1000 as MonotonicMs}, clock.readMonotonic());
	expect([keeper.isCulprit('a'), events]).toEqual([false, []]);
});

test('lifts a quarantine by a complete answer elsewhere since it began, and not by an earlier one', () => {
	const {clock, keeper, quarantine} = createKeeper();
	quarantine('a', 'own');
	keeper.applyCompletion('a', clock.readMonotonic() - 1 as MonotonicMs);
	expect(keeper.isCulprit('a')).toEqual(true);
	keeper.applyCompletion('a', clock.readMonotonic());
	expect(keeper.isCulprit('a')).toEqual(false);
});

test('forgets the evidence where a deleted object lifts a quarantine, and keeps it where the quarantine was lifted before', async () => {
	const {clock, keeper, events, objectApi, quarantine, refresh} = createKeeper();
	for (const isLiftedBefore of [false, true]) {
		quarantine('a', 'own');
		await clock.advance(1);
		await refresh();
		if (isLiftedBefore) {
			keeper.lift('a', 'completed');
		}

		await objectApi.remove(collection, 'a');
		await refresh();
		await clock.advance(durationMs);
	}

	expect(events).toEqual(['decision a own', 'lift a object deleted', 'forget a', 'decision a own', 'lift a completed']);
});

test('renews the quarantine of the last key of a call on probation, and not for a call that was sent before its end', async () => {
	const {clock, keeper, events, quarantine} = createKeeper();
	for (const key of ['a', 'b'] as const) {
		quarantine(key, 'own');
	}

	events.length = 0;
	const sentEarly = clock.readMonotonic();
	await clock.advance(durationMs + 100);
	const now = clock.readMonotonic();
	keeper.renewAfterProbation([{keys: ['a', 'b'], sentAt: sentEarly}], now, 'own', now);
	expect(events).toEqual([]);
	keeper.renewAfterProbation([{keys: ['a', 'b', 'c'], sentAt: now}, {keys: ['a', 'b'], sentAt: now}], now, 'own', now);
	expect(events).toEqual(['decision b own']);
	expect(keeper.register.read('b')).toEqual({
		key: 'b', crashes: 4, durationMs: 2 * durationMs, endsAt: now + (2 * durationMs) as MonotonicMs,
	});
});

test('guards against a store that grows with what callers send', async () => {
	const {clock, keeper, quarantine, listStored} = createKeeper();
	for (const key of ['a', 'b', 'c'] as const) {
		quarantine(key, 'own');
	}

	await clock.advance(longestStoreDelayMs);
	expect([await listStored(), keeper.isCulprit('c')]).toEqual([['a', 'b'], true]);
});
