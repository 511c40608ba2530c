import {test} from 'node:test';
import {expect} from 'earl';
import {SoakLedger, type SentRequest, type TargetRun} from './index.js';

const createSent = (changes: Partial<SentRequest> = {}): SentRequest => ({
	id: 'r', method: 'POST', path: '/p', body: 'b', organisation: 'org', mayRepeat: false, instance: 'i', at: 0, ...changes,
});
const createRun = (changes: Partial<TargetRun> = {}): TargetRun => ({
	id: 'r', method: 'POST', path: '/p', body: 'b', organisation: 'org', hasKey: false, target: 't', at: 1, ...changes,
});

/** Promises that a ledger finds broken. */
function listBroken(fill: (ledger: SoakLedger) => void): string[] {
	const ledger = new SoakLedger();
	fill(ledger);
	ledger.checkEnd();
	return ledger.violations.map(({promise}) => promise);
}

test('finds nothing where a request ran once and was answered', () => {
	expect(listBroken(ledger => {
		ledger.noteSent(createSent());
		ledger.noteRun(createRun());
		ledger.noteOutcome({
			id: 'r', status: 200, isValid: true, detail: '', at: 2,
		});
	})).toEqual([]);
});

test('guards against checks that cannot fail: each broken promise is found', () => {
	const answer = (status: number, isValid = false) => ({
		id: 'r', status, isValid, detail: '', at: 2,
	});
	expect(listBroken(ledger => {
		ledger.noteRun(createRun());
	})).toEqual(['unasked']);
	expect(listBroken(ledger => {
		ledger.noteSent(createSent());
		ledger.noteRun(createRun({body: 'x'}));
	})).toEqual(['unasked']);
	expect(listBroken(ledger => {
		ledger.noteSent(createSent());
		ledger.noteRun(createRun({organisation: 'other'}));
	})).toEqual(['organisation']);
	expect(listBroken(ledger => {
		ledger.noteSent(createSent());
		ledger.noteRun(createRun());
		ledger.noteRun(createRun({target: 'u'}));
	})).toEqual(['once']);
	expect(listBroken(ledger => {
		ledger.noteSent(createSent());
		ledger.noteRun(createRun());
		ledger.noteOutcome(answer(503));
	})).toEqual(['not run']);
	expect(listBroken(ledger => {
		ledger.noteSent(createSent());
		ledger.noteOutcome(answer(200));
	})).toEqual(['whole answer']);
	expect(listBroken(ledger => {
		ledger.noteSent(createSent());
		ledger.noteOutcome(answer(404));
	})).toEqual(['wrongly denied']);
	expect(listBroken(ledger => {
		ledger.noteSent(createSent({organisation: undefined}));
		ledger.noteOutcome(answer(200, true));
	})).toEqual(['withdrawn key']);
});

test('a repeatable request may run twice, and may be refused after a run', () => {
	expect(listBroken(ledger => {
		ledger.noteSent(createSent({mayRepeat: true}));
		ledger.noteRun(createRun());
		ledger.noteRun(createRun({target: 'u'}));
		ledger.noteOutcome({
			id: 'r', status: 503, isValid: false, detail: '', at: 2,
		});
	})).toEqual([]);
});
