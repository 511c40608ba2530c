import {test} from 'node:test';
import {expect} from 'earl';
import type {TargetCall} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs, RouteId} from '../../identity/ids/index.js';
import type {CellScope} from '../evidence-cell/index.js';
import {countFrom, findBucket} from '../latency-histogram/index.js';
import {EvidenceRecorder} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const scope: CellScope = {lane: 'new', route: 'a route' as RouteId, group: 3};

function createCall(sentAt: number): TargetCall {
	return {
		sentAt: at(sentAt), prefillTokens: 0, memoryTokens: 0, workTokens: 0, hasAnswered: false,
	};
}

function readCell(recorder: EvidenceRecorder, now: number) {
	return [...recorder.readCells(at(now)).values()][0]!;
}

test('counts requests, answers and failures', () => {
	const recorder = new EvidenceRecorder();
	for (const outcome of ['good', 'failed', 'unanswered', 'notRun'] as const) {
		const call = createCall(0);
		recorder.recordSent(scope, call);
		recorder.recordEnded(scope, call, outcome, at(40));
	}

	const {sent, answers, failures, durations} = readCell(recorder, 50);
	expect([sent, answers, failures, [...durations.values()]]).toEqual([4, 2, 1, [1]]);
});

test('guards against a slow version that shows only its quick answers: requests in progress count with their age', () => {
	const recorder = new EvidenceRecorder();
	const call = createCall(0);
	recorder.recordSent(scope, call);
	expect(countFrom(readCell(recorder, 100).durations, 0)).toEqual(0);
	expect(countFrom(readCell(recorder, 2000).durations, findBucket(1900))).toEqual(1);
	recorder.recordEnded(scope, call, 'good', at(2100));
	expect(countFrom(readCell(recorder, 9000).durations, 0)).toEqual(1);
});

test('guards against messages without anything new', () => {
	const recorder = new EvidenceRecorder();
	recorder.recordSent(scope, createCall(0));
	expect([0, 10, 400, 410, 700].map(ms => recorder.takeChanged(at(ms)).size)).toEqual([1, 0, 1, 0, 1]);
});
