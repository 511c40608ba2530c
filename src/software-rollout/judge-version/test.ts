import {test} from 'node:test';
import {expect} from 'earl';
import type {RouteId} from '../../identity/ids/index.js';
import {formatCellKey, type EvidenceCell, type EvidenceCells} from '../evidence-cell/index.js';
import {findBucket} from '../latency-histogram/index.js';
import type {VersionLane} from '../rollout-types/index.js';
import {countBadAnswers, judgeVersion, type EvidenceSpan} from './index.js';

/** Answers of one lane, route and group of targets. */
type Sample = {
	readonly lane: VersionLane;
	readonly route?: string;
	readonly group?: number;
	readonly answers: number;
	readonly failures?: number;
	/** Number of answers that take `slowFactor` times as long as the others. */
	readonly slow?: number;
};

const usualMs = 40;
const slowFactor = 5;

function createCell({answers, failures = 0, slow = 0}: Sample): EvidenceCell {
	const durations = new Map([[findBucket(usualMs), answers - failures - slow]]);
	if (slow > 0) {
		durations.set(findBucket(usualMs * slowFactor), slow);
	}

	return {
		sent: answers, answers, failures, durations,
	};
}

function createCells(samples: readonly Sample[]): EvidenceCells {
	return new Map(samples.map(sample => [
		formatCellKey({lane: sample.lane, route: (sample.route ?? 'r') as RouteId, group: sample.group ?? 0}), createCell(sample),
	]));
}

function createSpan(samples: readonly Sample[], lengthMs = Infinity): EvidenceSpan {
	return {name: 'span', lengthMs, cells: createCells(samples)};
}

/** Judges a version whose answers come from three groups of targets evenly. */
function judge(previous: Omit<Sample, 'lane'>, next: Omit<Sample, 'lane'>) {
	const groups = [0, 1, 2].map(group => {
		const part = (value = 0) => Math.round(value / 3);
		return {
			...next, lane: 'new' as const, group, answers: part(next.answers), failures: part(next.failures), slow: part(next.slow),
		};
	});
	return judgeVersion([createSpan([{...previous, lane: 'previous'}, ...groups])]);
}

test('guards against a bad version that is taken for a good one: failures', () => {
	expect(judge({answers: 1000, failures: 20}, {answers: 60, failures: 18})?.kind).toEqual('failures');
	expect(judge({answers: 1000, failures: 20}, {answers: 300, failures: 45})?.kind).toEqual('failures');
});

test('guards against a bad version that is taken for a good one: slow answers', () => {
	const verdict = judge({answers: 1000}, {answers: 60, slow: 18});
	expect([verdict?.kind, verdict?.answers, verdict?.bad]).toEqual(['slow answers', 60, 18]);
});

test('guards against a rollback for the failures and slow answers that are normal', () => {
	expect(judge({answers: 1000, failures: 30}, {answers: 60, failures: 6})).toEqual(undefined);
	expect(judge({answers: 1000, failures: 30}, {answers: 3000, failures: 120})).toEqual(undefined);
	expect(judge({answers: 1000, slow: 100}, {answers: 300, slow: 36})).toEqual(undefined);
	expect(judge({answers: 1000}, {answers: 3, failures: 3})).toEqual(undefined);
	expect(judgeVersion([])).toEqual(undefined);
});

test('guards against a rollback for faults of the surroundings that meet old and new targets alike', () => {
	expect(judge({answers: 200, failures: 100}, {answers: 60, failures: 36})).toEqual(undefined);
	expect(judge({answers: 200, slow: 100}, {answers: 60, slow: 36})).toEqual(undefined);
});

test('guards against a rollback because of one faulty target', () => {
	const previous = {lane: 'previous' as const, answers: 1000, failures: 20};
	const sound = [0, 1].map(group => ({
		lane: 'new' as const, group, answers: 40, failures: 1,
	}));
	const faulty = {
		lane: 'new' as const, group: 2, answers: 40, failures: 30,
	};
	expect(judgeVersion([createSpan([previous, ...sound, faulty])])).toEqual(undefined);
	const alsoFaulty = {...faulty, group: 3};
	expect(judgeVersion([createSpan([previous, ...sound, faulty, alsoFaulty])])?.kind).toEqual('failures');
});

test('guards against a version that is bad on one route only', () => {
	const samples = ['a', 'b', 'c', 'd'].flatMap(route => [0, 1, 2].map(group => ({
		lane: 'new' as const, route, group, answers: 20, failures: route === 'b' ? 6 : 0,
	})));
	const previous = ['a', 'b', 'c', 'd'].map(route => ({
		lane: 'previous' as const, route, answers: 500, failures: 5,
	}));
	expect(String(judgeVersion([createSpan([...previous, ...samples])])?.route)).toEqual('b');
});

test('guards against a version that turns bad after many good answers', () => {
	const before = createSpan([{lane: 'previous', answers: 5000}, ...[0, 1].map(group => ({
		lane: 'new' as const, group, answers: 1000, failures: 12,
	}))]);
	expect(judgeVersion([before])).toEqual(undefined);
	const recent = createSpan([{lane: 'previous', answers: 500}, ...[0, 1].map(group => ({
		lane: 'new' as const, group, answers: 30, failures: 12,
	}))], 1500);
	expect(judgeVersion([recent, before])?.kind).toEqual('failures');
});

test('counts failures and slow answers of the new version', () => {
	const span = createSpan([{lane: 'previous', answers: 100, failures: 7}, {
		lane: 'new', answers: 50, failures: 3, slow: 2,
	}]);
	expect(countBadAnswers(span)).toEqual(5);
});
