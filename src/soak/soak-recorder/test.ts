import {test} from 'node:test';
import {expect} from 'earl';
import {SoakRecorder, type SentRequest, type TargetRun} from './index.js';

const createRequest = (changes: Partial<SentRequest> = {}): SentRequest => ({
	id: 'r', method: 'POST', path: '/p', body: 'b', organisation: 'org', mayRepeat: false, instance: 'i', at: 0, ...changes,
});
const createRun = (changes: Partial<TargetRun> = {}): TargetRun => ({
	id: 'r', method: 'POST', path: '/p', body: 'b', organisation: 'org', hasKey: false, target: 't', at: 1, ...changes,
});

/** Lists the invariants that a recorder reports as violated. */
function listViolations(fill: (recorder: SoakRecorder) => void): string[] {
	const recorder = new SoakRecorder();
	fill(recorder);
	recorder.checkFinalState();
	return recorder.violations.map(({invariant}) => invariant);
}

test('reports no violation of a request that ran once and was answered', () => {
	expect(listViolations(recorder => {
		recorder.recordSent(createRequest());
		recorder.recordRun(createRun());
		recorder.recordOutcome({
			id: 'r', status: 200, isValid: true, detail: '', at: 2,
		});
	})).toEqual([]);
});

test('guards against checks that never fail: each violated invariant is reported', () => {
	const answer = (status: number, isValid = false) => ({
		id: 'r', status, isValid, detail: '', at: 2,
	});
	expect(listViolations(recorder => {
		recorder.recordRun(createRun());
	})).toEqual(['request integrity']);
	expect(listViolations(recorder => {
		recorder.recordSent(createRequest());
		recorder.recordRun(createRun({body: 'x'}));
	})).toEqual(['request integrity']);
	expect(listViolations(recorder => {
		recorder.recordSent(createRequest());
		recorder.recordRun(createRun({organisation: 'other'}));
	})).toEqual(['organisation']);
	expect(listViolations(recorder => {
		recorder.recordSent(createRequest());
		recorder.recordRun(createRun());
		recorder.recordRun(createRun({target: 'u'}));
	})).toEqual(['at most once']);
	expect(listViolations(recorder => {
		recorder.recordSent(createRequest());
		recorder.recordRun(createRun());
		recorder.recordOutcome(answer(503));
	})).toEqual(['not run']);
	expect(listViolations(recorder => {
		recorder.recordSent(createRequest());
		recorder.recordOutcome(answer(200));
	})).toEqual(['complete answer']);
	expect(listViolations(recorder => {
		recorder.recordSent(createRequest());
		recorder.recordOutcome(answer(404));
	})).toEqual(['wrongly denied']);
	expect(listViolations(recorder => {
		recorder.recordSent(createRequest({organisation: undefined}));
		recorder.recordOutcome(answer(200, true));
	})).toEqual(['withdrawn key']);
});

test('a repeatable request may run twice, and may be refused after a run', () => {
	expect(listViolations(recorder => {
		recorder.recordSent(createRequest({mayRepeat: true}));
		recorder.recordRun(createRun());
		recorder.recordRun(createRun({target: 'u'}));
		recorder.recordOutcome({
			id: 'r', status: 503, isValid: false, detail: '', at: 2,
		});
	})).toEqual([]);
});
