import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import {pickByPrefix, rankByPrefix} from './index.js';

const targets = ['a', 'b', 'c', 'd', 'e'].map(id => createFleetTarget(id));
const rank = (prefix: string, among = targets) => rankByPrefix(prefix, among).map(target => target.description.id as string);

test('guards against instances that rank the same targets differently because their lists are in a different order', () => {
	expect(rank('p', targets.toReversed())).toEqual(rank('p'));
});

test('guards against moving prefixes of other targets when one leaves', () => {
	const remaining = targets.filter(target => target.description.id !== 'c');
	for (let index = 0; index < 50; index += 1) {
		const before = rank(`p${index}`)[0]!;
		const after = rank(`p${index}`, remaining)[0]!;
		expect(before === 'c' || before === after).toEqual(true);
	}
});

test('guards against homes that differ from the ranking of instances of the previous release', () => {
	for (let index = 0; index < 50; index += 1) {
		for (const count of [1, 3, 9]) {
			const picked = pickByPrefix(`p${index}`, targets, count).map(target => target.description.id as string);
			expect(picked).toEqual(rank(`p${index}`).slice(0, count));
		}
	}
});
