import {test} from 'node:test';
import {expect} from 'earl';
import {rankByHash} from './index.js';

const ids = Array.from({length: 98}, (_, index) => `i-${index}c37c357a`);
const rank = (key: string, candidates: readonly string[] = ids) => rankByHash(key, candidates, id => id);

test('guards against a ranking that depends on the input order', () => {
	expect(rank('key', ids.toReversed())).toEqual(rank('key'));
});

test('guards against items that rank first for a disproportionate share of keys', () => {
	const counts = new Map<string, number>();
	for (let index = 0; index < 9800; index += 1) {
		const first = rank(`fizi14|${index}`)[0]!;
		counts.set(first, (counts.get(first) ?? 0) + 1);
	}

	expect(counts.size).toEqual(98);
	expect(Math.max(...counts.values()) < 200).toEqual(true);
});
