import {test} from 'node:test';
import {expect} from 'earl';
import type {
	Incarnation, InstanceId, MonotonicMs, RouteId,
} from '../../identity/ids/index.js';
import {emptyCell, formatCellKey, type EvidenceCell} from '../evidence-cell/index.js';
import {formatCells, parseCells} from '../rollout-messages/index.js';
import {EvidenceLedger, type EvidenceReport} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const key = formatCellKey({lane: 'new', route: 'r' as RouteId, group: 0});

function createReport(from: string, cell: Partial<EvidenceCell>, changes: Partial<EvidenceReport> = {}): EvidenceReport {
	return {
		from: from as InstanceId, incarnation: '1' as Incarnation, write: 1, callsLeft: 0, cells: new Map([[key, {...emptyCell, ...cell}]]), ...changes,
	};
}

test('guards against counting a report twice, and against losing what a process counted before its restart', () => {
	const ledger = new EvidenceLedger();
	ledger.record(createReport('a', {sent: 5, answers: 5}), at(0));
	ledger.record(createReport('a', {sent: 8, answers: 7}), at(100));
	ledger.record(createReport('a', {sent: 5, answers: 5}), at(110));
	ledger.record(createReport('b', {sent: 1, answers: 1}), at(120));
	ledger.record(createReport('a', {sent: 2, answers: 2}, {incarnation: '2' as Incarnation}), at(200));
	const {sent, answers} = ledger.sumNew();
	expect([sent, answers]).toEqual([11, 10]);
});

test('returns the evidence of the last seconds beside that of the whole', () => {
	const ledger = new EvidenceLedger();
	for (let ms = 0; ms <= 10_000; ms += 500) {
		ledger.record(createReport('a', {sent: ms / 10, answers: ms / 10}), at(ms));
	}

	const answers = ledger.listSpans(at(10_000)).map(({cells}) => cells.get(key)!.answers);
	// A span begins before the report that comes at its beginning.
	expect(answers).toEqual([200, 450, 1000]);
});

test('guards against completion before all instances have stated their calls in the present stage', () => {
	const ledger = new EvidenceLedger();
	const live = ['a', 'b'].map(id => id as InstanceId);
	ledger.record(createReport('a', {}, {write: 2, callsLeft: 3}), at(0));
	expect(ledger.countCallsLeft(live, 2, at(100))).toEqual({count: 3, haveAllStated: false});
	ledger.record(createReport('b', {}, {write: 1}), at(100));
	expect(ledger.countCallsLeft(live, 2, at(200))).toEqual({count: 3, haveAllStated: false});
	ledger.record(createReport('b', {}, {write: 2}), at(300));
	expect(ledger.countCallsLeft(live, 2, at(400))).toEqual({count: 3, haveAllStated: true});
	ledger.record(createReport('a', {}, {write: 2}), at(500));
	expect(ledger.countCallsLeft(live, 2, at(600))).toEqual({count: 0, haveAllStated: true});
	expect(ledger.countCallsLeft(live, 2, at(5000)).haveAllStated).toEqual(false);
});

test('guards against cells that a message changes', () => {
	const cell: EvidenceCell = {
		sent: 4, answers: 3, failures: 1, durations: new Map([[7, 2], [12, 1]]),
	};
	const cells = new Map([[key, cell]]);
	const text = JSON.stringify(formatCells(cells));
	expect(parseCells(JSON.parse(text) as Parameters<typeof parseCells>[0])).toEqual(cells);
});
