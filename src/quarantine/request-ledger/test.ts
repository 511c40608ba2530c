import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {hashRequest, type RequestKey} from '../request-key/index.js';
import {evidenceValidityMs, RequestLedger} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const createKey = (path: string): RequestKey => hashRequest({
	method: 'GET', host: 'h', path, organisation: undefined, body: undefined,
});
const [culprit, sound, other] = ['culprit', 'sound', 'other'].map(path => createKey(path)) as [RequestKey, RequestKey, RequestKey];
const noCulprit = () => false;

/** Records that a target crashed at `ms` while it ran the given requests, which were sent 50 ms before. */
function crash(ledger: RequestLedger, ms: number, keys: readonly RequestKey[], target = `t${ms}`): boolean {
	return ledger.recordCrash({
		target: target as TargetId, startedAt: 1, crashedAt: at(ms), requests: keys.map(key => ({key, sentAt: at(ms - 50)})),
	}, at(ms));
}

test('identifies a request after three crashes, and not the sound ones beside it', () => {
	const ledger = new RequestLedger();
	crash(ledger, 100, [culprit, sound]);
	crash(ledger, 300, [culprit, sound]);
	expect(ledger.findCulprits(noCulprit, at(300))).toEqual([]);
	crash(ledger, 500, [culprit, other]);
	expect(ledger.findCulprits(noCulprit, at(500))).toEqual([{key: culprit, crashes: 3, sequentialCrashes: 3}]);
});

test('guards against a sound request that was in the crashes of a known culprit', () => {
	const ledger = new RequestLedger();
	for (const ms of [100, 300, 500, 700]) {
		crash(ledger, ms, ms < 700 ? [culprit, sound] : [culprit]);
	}

	expect(ledger.findCulprits(noCulprit, at(700)).map(({key}) => key)).toEqual([culprit]);
	const isCulprit = (key: RequestKey) => key === culprit;
	expect(ledger.findCulprits(isCulprit, at(700))).toEqual([]);
	expect(ledger.countCrashes(sound, isCulprit, at(700))).toEqual(0);
});

test('clears a request of the crashes before a complete answer, and of no later ones', () => {
	const ledger = new RequestLedger();
	crash(ledger, 100, [sound]);
	crash(ledger, 300, [sound]);
	expect(ledger.recordCompletion(sound, at(200))).toEqual(true);
	expect(ledger.countCrashes(sound, noCulprit, at(300))).toEqual(1);
	expect(ledger.recordCompletion(other, at(200))).toEqual(false);
});

test('guards against evidence from a crash report that arrives after the complete answer which refutes it', () => {
	const ledger = new RequestLedger();
	ledger.recordCompletion(sound, at(200));
	crash(ledger, 100, [sound, other]);
	crash(ledger, 300, [sound]);
	expect([sound, other].map(key => ledger.countCrashes(key, noCulprit, at(300)))).toEqual([1, 1]);
});

test('guards against counting a crash twice that several instances report, or one that came before the request was sent', () => {
	const ledger = new RequestLedger();
	expect(crash(ledger, 100, [culprit], 't1')).toEqual(true);
	expect(crash(ledger, 110, [culprit], 't1')).toEqual(false);
	ledger.recordCrash({
		target: 't1' as TargetId, startedAt: 1, crashedAt: at(100), requests: [{key: other, sentAt: at(150)}],
	}, at(160));
	expect([culprit, other].map(key => ledger.countCrashes(key, noCulprit, at(160)))).toEqual([1, 0]);
});

test('counts crashes at one instant as one in sequence', () => {
	const ledger = new RequestLedger();
	for (const target of ['t1', 't2', 't3']) {
		crash(ledger, 100, [sound], target);
	}

	expect(ledger.findCulprits(noCulprit, at(100))).toEqual([{key: sound, crashes: 3, sequentialCrashes: 1}]);
});

test('guards against memory that grows with the crashes, and against evidence that is too old', () => {
	const ledger = new RequestLedger();
	for (let index = 0; index < 2000; index += 1) {
		crash(ledger, 100 + index, [createKey(`k${index}`)]);
	}

	expect(ledger.listEvidence(noCulprit, at(2100)).length <= 256).toEqual(true);
	expect(ledger.listEvidence(noCulprit, at(2100 + evidenceValidityMs))).toEqual([]);
});
