import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {Evaluation, EvidenceRule} from '../crash-evidence/index.js';
import {EvidenceLedger} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const isUnknown = () => false;
const validityMs = 1000;
const maximumKeysPerCrash = 2;

/** Creates a rule that takes each key with two crashes for a culprit, and clears the given keys. */
function createRule(cleared: readonly string[]): EvidenceRule<string> {
	const listRepeated = ({evidenceByKey}: Evaluation<string>) => [...evidenceByKey.values()].filter(({crashList}) => crashList.length >= 2);
	return {
		isCleared: key => cleared.includes(key),
		findCulprits: evaluation => listRepeated(evaluation),
		isSuspicious: (keys, evaluation) => listRepeated(evaluation).some(({key}) => keys.includes(key)),
		compareEvidence: (a, b) => b.crashList.length - a.crashList.length,
	};
}

/** Creates a ledger to which crashes of targets are added, each with one call that was sent 50 ms before. */
function createLedger({cleared = []}: {readonly cleared?: readonly string[]} = {}) {
	const ledger = new EvidenceLedger<string>({
		rule: createRule(cleared), validityMs, maximumCrashes: 3, maximumKeysPerCrash,
	});
	return {
		ledger,
		crash: (ms: number, keys: readonly string[], target = `t${ms}`) =>
			ledger.recordCrash({target: target as TargetId, startedAt: 1, crashedAt: at(ms)}, [{keys, sentAt: at(ms - 50)}], at(ms)),
		listKeys: (ms: number) => ledger.listEvidence(isUnknown, at(ms)).map(({key}) => key),
	};
}

test('leaves the decision to the rule, and shows it no crash that a known culprit explains', () => {
	const {ledger, crash} = createLedger();
	crash(100, ['a', 'b']);
	crash(300, ['a', 'b']);
	expect(ledger.findCulprits(isUnknown, at(300)).map(({key}) => key)).toEqual(['a', 'b']);
	expect(ledger.isSuspicious(['b'], isUnknown, at(300))).toEqual(true);
	const isCulprit = (key: string) => key === 'a';
	expect(ledger.findCulprits(isCulprit, at(300))).toEqual([]);
	expect(ledger.isSuspicious(['b'], isCulprit, at(300))).toEqual(false);
});

test('guards against evidence against a key that the rule clears', () => {
	const {ledger, crash, listKeys} = createLedger({cleared: ['a']});
	crash(100, ['a', 'b']);
	expect(listKeys(100)).toEqual(['b']);
	expect([ledger.isClearedBy('a', at(200)), ledger.isClearedBy('b', at(200))]).toEqual([false, true]);
});

test('guards against more keys of a crash than the limit, while known ones are brought up to date', () => {
	const {ledger, crash} = createLedger();
	crash(100, ['a', 'b', 'c'], 't1');
	ledger.recordCrash({target: 't1' as TargetId, startedAt: 1, crashedAt: at(100)}, [{keys: ['b'], sentAt: at(90)}], at(110));
	const occurrences = ledger.evaluate(isUnknown, at(110)).crashes[0]?.occurrences;
	expect([...occurrences ?? []].map(([key, {sentAt}]) => [key, sentAt])).toEqual([['a', at(50)], ['b', at(90)]]);
});

test('takes a key out of earlier crashes only, and forgets whole crashes with a key', () => {
	const {ledger, crash, listKeys} = createLedger();
	crash(100, ['a', 'b']);
	crash(300, ['a']);
	expect(ledger.removeKey('a', 200)).toEqual(true);
	expect(ledger.removeKey('a', 200)).toEqual(false);
	expect(listKeys(300)).toEqual(['b', 'a']);
	ledger.forgetCrashes('b');
	expect(listKeys(300)).toEqual(['a']);
});

test('guards against evidence that grows without bound or is too old', () => {
	const {ledger, crash, listKeys} = createLedger();
	for (const ms of [100, 200, 300, 400]) {
		crash(ms, [`k${ms}`]);
	}

	expect(listKeys(400)).toEqual(['k200', 'k300', 'k400']);
	expect(listKeys(300 + validityMs)).toEqual(['k300', 'k400']);
	expect(ledger.isEmpty).toEqual(false);
});
