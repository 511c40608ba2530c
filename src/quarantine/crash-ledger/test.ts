import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {createPartKey, type PartKey} from '../part-key/index.js';
import {CrashLedger, evidenceValidityMs, type CrashedPrompt} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const createKey = (id: string) => createPartKey('model-1', id);
const isUnknown = () => false;
const isPart = (id: string) => (part: PartKey) => part === createKey(id);
/** Time from sending a call to the crash of its engine. */
const callMs = 100;

/** Creates a prompt with the given parts besides the last one. */
function createPrompt(ids: readonly string[], sentAt: number): CrashedPrompt {
	return {parts: ids.map(id => createKey(id)), sentAt: at(sentAt)};
}

/** Creates a ledger to which crashes of one engine after another are added. */
function createLedger() {
	const ledger = new CrashLedger();
	let engines = 0;
	const crash = (crashedAt: number, ...prompts: readonly CrashedPrompt[]) => {
		engines += 1;
		ledger.recordCrash({
			target: `e${engines}` as TargetId, startedAt: 1, crashedAt: at(crashedAt), prompts,
		}, at(crashedAt));
	};

	return {
		ledger, crash,
		/** Records crashes in sequence, each with one prompt of the same parts that was sent after the previous crash. */
		crashInSequence(count: number, ids: readonly string[]) {
			for (let index = 1; index <= count; index += 1) {
				crash(index * 1000, createPrompt(ids, (index * 1000) - callMs));
			}
		},
	};
}

test('identifies a part after four crashes in sequence, and the deepest of a prompt rather than the parts that other calls share', () => {
	const {ledger, crashInSequence, crash} = createLedger();
	crashInSequence(3, ['root', 'culprit']);
	expect(ledger.findCulprits(isUnknown, at(3000))).toEqual([]);
	crash(4000, createPrompt(['root', 'culprit'], 3900));
	expect(ledger.findCulprits(isUnknown, at(4000))).toEqual([{
		part: createKey('culprit'), depth: 1, crashes: 4, sequentialCrashes: 4,
	}]);
});

test('guards against a first part that is quarantined together with the culprit: crashes with a known culprit speak against no other part', () => {
	const {ledger, crashInSequence} = createLedger();
	crashInSequence(8, ['root', 'culprit']);
	expect(ledger.findCulprits(isPart('culprit'), at(8000))).toEqual([]);
	expect(ledger.listEvidence(isPart('culprit'), at(8000))).toEqual([]);
});

test('guards against a culprit at the first position that is missed because its calls have nothing else in common', () => {
	const {ledger, crash} = createLedger();
	for (let index = 1; index <= 4; index += 1) {
		crash(index * 1000, createPrompt(['culprit', `other-${index}`], (index * 1000) - callMs));
	}

	expect(ledger.findCulprits(isUnknown, at(4000))[0]?.part).toEqual(createKey('culprit'));
});

test('guards against a quarantine after a crash of all engines at one instant for another reason', () => {
	const {ledger, crash} = createLedger();
	for (let index = 0; index < 60; index += 1) {
		crash(1000 + index, createPrompt(['root', 'common'], 900 - index));
	}

	expect(ledger.findCulprits(isUnknown, at(1060))).toEqual([]);
	expect(ledger.listEvidence(isUnknown, at(1060))[0]).toEqual({
		part: createKey('common'), depth: 1, crashes: 60, sequentialCrashes: 1,
	});
});

test('guards against a quarantine after crashes one by one for another reason: a complete answer clears the parts of its prompt', () => {
	const {ledger, crash} = createLedger();
	for (let index = 1; index <= 20; index += 1) {
		crash(index * 1000, createPrompt(['root', 'common'], (index * 1000) - callMs));
		ledger.recordCompletion([createKey('root'), createKey('common')], at((index * 1000) + 500));
		expect(ledger.findCulprits(isUnknown, at((index * 1000) + 600))).toEqual([]);
	}
});

test('guards against evidence from a crash report that arrives after the answer that refutes it', () => {
	const {ledger, crash} = createLedger();
	expect(ledger.recordCompletion([createKey('common')], at(5000))).toEqual([]);
	for (let index = 1; index <= 4; index += 1) {
		crash(index * 1000, createPrompt(['common'], (index * 1000) - callMs));
	}

	expect(ledger.findCulprits(isUnknown, at(5000))).toEqual([]);
});

test('tells once which parts a complete answer clears', () => {
	const {ledger, crashInSequence} = createLedger();
	crashInSequence(2, ['root', 'culprit']);
	const parts = [createKey('root'), createKey('other')];
	expect(ledger.recordCompletion(parts, at(2100))).toEqual([createKey('root')]);
	expect(ledger.recordCompletion(parts, at(2200))).toEqual([]);
});

test('guards against one crash that counts as several because several instances report it, or report it twice', () => {
	const ledger = new CrashLedger();
	for (let index = 0; index < 10; index += 1) {
		ledger.recordCrash({
			target: 'e1' as TargetId, startedAt: 1, crashedAt: at(1000 + index), prompts: [createPrompt(['root', 'common'], 950 + index)],
		}, at(1100));
	}

	expect(ledger.listEvidence(isUnknown, at(1100))[0]?.crashes).toEqual(1);
});

test('counts the crash of a restarted engine as another one', () => {
	const ledger = new CrashLedger();
	for (let startedAt = 1; startedAt <= 4; startedAt += 1) {
		ledger.recordCrash({
			target: 'e1' as TargetId, startedAt, crashedAt: at(startedAt * 5000), prompts: [createPrompt(['culprit'], (startedAt * 5000) - callMs)],
		}, at(startedAt * 5000));
	}

	expect(ledger.findCulprits(isUnknown, at(20_000))[0]?.sequentialCrashes).toEqual(4);
});

test('identifies a part of overlapping crashes after five of them, since two calls may crash two engines at the same time', () => {
	const {ledger, crash} = createLedger();
	for (const [index, crashedAt] of [1000, 1010, 2000, 2010].entries()) {
		crash(crashedAt, createPrompt(['root', 'culprit'], crashedAt - callMs + index));
	}

	expect(ledger.findCulprits(isUnknown, at(2010))).toEqual([]);
	crash(3000, createPrompt(['root', 'culprit'], 2900));
	expect(ledger.findCulprits(isUnknown, at(3000))[0]?.part).toEqual(createKey('culprit'));
});

test('guards against a first part that is identified while two deeper ones occur in all crashes: it takes six to choose among parts that always occur together', () => {
	const {ledger, crash} = createLedger();
	for (let index = 1; index <= 6; index += 1) {
		const sentAt = (index * 1000) - callMs;
		expect(ledger.findCulprits(isUnknown, at(index * 1000))).toEqual([]);
		crash(index * 1000, createPrompt(['root', 'culprit'], sentAt), createPrompt(['root', 'innocent'], sentAt));
	}

	expect(ledger.findCulprits(isUnknown, at(6000)).map(({part}) => part)).toEqual([createKey('culprit'), createKey('innocent')]);
});

test('withholds calls with the culprit after two crashes, and no calls that only share its first part', () => {
	const {ledger, crash} = createLedger();
	for (const crashedAt of [1000, 2000]) {
		crash(crashedAt, createPrompt(['root', 'culprit'], crashedAt - callMs), createPrompt(['root', `innocent-${crashedAt}`], crashedAt - callMs));
		expect(ledger.isSuspicious([createKey('root'), createKey('culprit')], isUnknown, at(crashedAt))).toEqual(crashedAt === 2000);
		expect(ledger.isSuspicious([createKey('root'), createKey(`innocent-${crashedAt}`)], isUnknown, at(crashedAt))).toEqual(false);
	}
});

test('guards against evidence that is never forgotten', () => {
	const {ledger, crashInSequence} = createLedger();
	crashInSequence(3, ['root', 'culprit']);
	expect(ledger.listEvidence(isUnknown, at(3000 + evidenceValidityMs)).map(({crashes}) => crashes)).toEqual([1, 1]);
	expect(ledger.listEvidence(isUnknown, at(3001 + evidenceValidityMs))).toEqual([]);
});

test('guards against memory that grows with the number of crashes and parts', () => {
	const {ledger, crash} = createLedger();
	for (let index = 0; index < 2000; index += 1) {
		const prompts = Array.from({length: 40}, (_, number) => createPrompt([`a-${index}-${number}`, `b-${index}-${number}`], index));
		crash(index, ...prompts);
	}

	expect(ledger.listEvidence(isUnknown, at(2000)).length <= 64 * 80).toEqual(true);
});

test('guards against a further report of a known crash that discards the oldest one', () => {
	const {ledger, crash} = createLedger();
	for (let index = 1; index <= 64; index += 1) {
		crash(index * 500, createPrompt(['culprit'], (index * 500) - callMs));
	}

	ledger.recordCrash({
		target: 'e64' as TargetId, startedAt: 1, crashedAt: at(32_000), prompts: [createPrompt(['culprit'], 31_950)],
	}, at(32_000));
	expect(ledger.listEvidence(isUnknown, at(32_000))[0]?.crashes).toEqual(64);
});

test('guards against a second reset of connections to the same engines that counts as further crashes in sequence', () => {
	const ledger = new CrashLedger();
	for (const resetAt of [10_000, 12_000]) {
		for (const engine of ['e1', 'e2', 'e3', 'e4', 'e5']) {
			ledger.recordCrash({
				target: engine as TargetId, startedAt: 1, crashedAt: at(resetAt), prompts: [createPrompt(['root', 'sound'], resetAt - callMs)],
			}, at(resetAt));
		}
	}

	expect(ledger.findCulprits(isUnknown, at(12_000))).toEqual([]);
});
