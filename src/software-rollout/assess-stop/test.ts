import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs, RouteId} from '../../identity/ids/index.js';
import {emptyCell, formatCellKey, type EvidenceCell} from '../evidence-cell/index.js';
import type {EvidenceSpan} from '../judge-version/index.js';
import {assessStop} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const rollbackMs = 5000;

/** Creates the evidence of a whole rollout: old and new version with the given failures of 1,000 answers each. */
function createSpans(oldFailures: number, newFailures: number): EvidenceSpan[] {
	const cells = new Map<string, EvidenceCell>([
		[formatCellKey({lane: 'previous', route: 'r' as RouteId, group: 0}), {...emptyCell, answers: 1000, failures: oldFailures}],
		...[1, 2].map((group): [string, EvidenceCell] => [
			formatCellKey({lane: 'new', route: 'r' as RouteId, group}), {...emptyCell, answers: 500, failures: newFailures / 2},
		]),
	]);
	return [{name: 'since the order', lengthMs: Infinity, cells}];
}

test('stops at once if the evidence is clear', () => {
	expect(assessStop({spans: createSpans(20, 100), manyBadSince: undefined, rollbackMs}, at(0))?.kind).toEqual('failures');
});

test('guards against a version of which nothing is certain when the time for its rollback is over', () => {
	const query = {spans: createSpans(20, 60), manyBadSince: at(1000), rollbackMs};
	expect([assessStop(query, at(2000)), assessStop(query, at(3600))?.bad]).toEqual([undefined, 60]);
});

test('guards against a rollback because a good version had many answers, and so some bad ones', () => {
	expect(assessStop({spans: createSpans(30, 50), manyBadSince: at(0), rollbackMs}, at(60_000))).toEqual(undefined);
});
