import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {calculateChangingLimit, type ChangingQuery} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

function createQuery(changes: Partial<ChangingQuery> = {}): ChangingQuery {
	return {
		engineCount: 63, limits: Array.from({length: 63}, () => at(11_000)), meanLoadTokens: 0, ...changes,
	};
}

test('guards against answers on old weights while idle engines could change', () => {
	expect(calculateChangingLimit(createQuery(), at(0))).toEqual(25);
});

test('guards against taking busy engines out of service before the limits of the old weights require it', () => {
	expect(calculateChangingLimit(createQuery({meanLoadTokens: 10_000}), at(0)) <= 16).toEqual(true);
});

test('guards against busy engines that miss the limit of their weights', () => {
	const query = createQuery({meanLoadTokens: 10_000});
	const limit = calculateChangingLimit(query, at(0));
	expect(Math.ceil(63 / limit) * 2000 <= 11_000).toEqual(true);
	expect(calculateChangingLimit(query, at(7000))).toEqual(25);
});

test('guards against leaving out engines whose limit comes before that of the others', () => {
	const limits = [...Array.from({length: 20}, () => at(4000)), ...Array.from({length: 43}, () => at(60_000))];
	expect(calculateChangingLimit(createQuery({meanLoadTokens: 10_000, limits}), at(0))).toEqual(16);
});

test('guards against a rollout that stands still in small fleets, or where no limit is known', () => {
	for (const engineCount of [1, 2, 3]) {
		expect(calculateChangingLimit({engineCount, limits: [undefined], meanLoadTokens: 10_000}, at(0))).toEqual(1);
	}
});
