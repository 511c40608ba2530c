import {test} from 'node:test';
import {expect} from 'earl';
import {rankByHash} from './index.js';

const ids = Array.from({length: 98}, (_, index) => `i-${index}c37c357a`);
const rank = (key: string, among: readonly string[] = ids) => rankByHash(key, among, id => id);

test('guards against an order that depends on that of the items', () => {
	expect(rank('key', ids.toReversed())).toEqual(rank('key'));
});

test('guards against items that come first for many more keys than others', () => {
	const counts = new Map<string, number>();
	for (let index = 0; index < 9800; index += 1) {
		const first = rank(`fizi14|${index}`)[0]!;
		counts.set(first, (counts.get(first) ?? 0) + 1);
	}

	expect(counts.size).toEqual(98);
	expect(Math.max(...counts.values()) < 200).toEqual(true);
});
