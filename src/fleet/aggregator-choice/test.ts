import {test} from 'node:test';
import {expect} from 'earl';
import {createMember} from '../../fixtures/create-member/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {AggregatorChoice, sumsTimeoutMs} from './index.js';

const ranking = [createMember('a'), createMember('b')];
const [a, b] = ranking;

test('guards against reporting to a dead aggregator until its liveness timeout', () => {
	const choice = new AggregatorChoice();
	expect(choice.choose(ranking, 0 as MonotonicMs)).toEqual(a);
	expect(choice.choose(ranking, sumsTimeoutMs + 1 as MonotonicMs)).toEqual(b);
});

test('guards against leaving an aggregator that sends sums, and returns to the first one after a while', () => {
	const choice = new AggregatorChoice();
	for (let now = 0; now < 5000; now += 200) {
		expect(choice.choose(ranking, now as MonotonicMs)).toEqual(a);
		choice.recordSums('a' as InstanceId, now as MonotonicMs);
	}

	expect(choice.choose(ranking, 6000 as MonotonicMs)).toEqual(b);
	choice.recordSums('b' as InstanceId, 6100 as MonotonicMs);
	choice.recordSums('b' as InstanceId, 8900 as MonotonicMs);
	expect(choice.choose(ranking, 9100 as MonotonicMs)).toEqual(a);
});

test('guards against no choice when all aggregators are silent', () => {
	const choice = new AggregatorChoice();
	choice.choose(ranking, 0 as MonotonicMs);
	choice.choose(ranking, 1000 as MonotonicMs);
	expect(choice.choose(ranking, 2000 as MonotonicMs)).toEqual(a);
	expect(choice.choose([], 2000 as MonotonicMs)).toEqual(undefined);
});
