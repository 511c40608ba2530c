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

/** Hashes a text to an odd 32-bit number. Products of odd numbers modulo a power of two are evenly distributed. */
function hashText(text: string): number {
	let hash = hashCache.get(text);
	if (hash === undefined) {
		const value = hashToNumber(text);
		hash = value - (value % 2) + 1;
		hashCache.set(text, hash);
	}

	return hash;
}
