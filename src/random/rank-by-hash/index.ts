/** Rendezvous hashing: ranks items for a key. All instances compute the same ranking, and rankings of different keys are independent. */

import {LRUCache} from 'lru-cache';
import {hashToNumber} from '../hash-to-number/index.js';

/** Limit of the hash cache; above the number of keys and items in use. */
const maximumCachedHashes = 8000;
const hashCache = new LRUCache<string, number>({max: maximumCachedHashes});

/** Sorts `items` by the hash weight of `key` and their ids, in descending order. */
export function rankByHash<Item>(key: string, items: readonly Item[], readId: (item: Item) => string): Item[] {
	const keyHash = hashText(key);
	const weighted = items.map(item => ({item, weight: Math.imul(keyHash, hashText(readId(item)))}));
	return weighted.toSorted((a, b) => b.weight - a.weight).map(({item}) => item);
}

/** Picks the first `count` items of the ranking for `key`. `readHash` returns the `hashText` of an item's id. */
export function pickByHash<Item>(key: string, items: readonly Item[], count: number, readHash: (item: Item) => number): Item[] {
	const keyHash = hashText(key);
	const picked: Array<{readonly item: Item; readonly weight: number}> = [];
	for (const item of items) {
		const weight = Math.imul(keyHash, readHash(item));
		if (picked.length < count || weight > picked.at(-1)!.weight) {
			const position = picked.findIndex(other => weight > other.weight);
			picked.splice(position === -1 ? picked.length : position, 0, {item, weight});
			picked.length = Math.min(picked.length, count);
		}
	}

	return picked.map(({item}) => item);
}

/** Hashes a text to an odd 32-bit number. Products of odd numbers modulo a power of two are evenly distributed. */
export function hashText(text: string): number {
	let hash = hashCache.get(text);
	if (hash === undefined) {
		const value = hashToNumber(text);
		hash = value - (value % 2) + 1;
		hashCache.set(text, hash);
	}

	return hash;
}
