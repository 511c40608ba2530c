/** Rendezvous hashing: orders items for a key, the same everywhere and independently for each key. */

import {createHash} from 'node:crypto';
import {LRUCache} from 'lru-cache';

/** Hashes of texts kept; more than there are keys and items in use. */
const maximumHashes = 8000;
const hashes = new LRUCache<string, number>({max: maximumHashes});

/** Orders `items` by the hash weight of their ids for `key`, the heaviest first. */
export function rankByHash<Item>(key: string, items: readonly Item[], readId: (item: Item) => string): Item[] {
	const keyHash = hashText(key);
	const weighted = items.map(item => ({item, weight: Math.imul(keyHash, hashText(readId(item)))}));
	return weighted.toSorted((a, b) => b.weight - a.weight).map(({item}) => item);
}

/** Hashes a text to an odd number of 32 bits. Products of odd numbers modulo a power of two are spread evenly. */
function hashText(text: string): number {
	let hash = hashes.get(text);
	if (hash === undefined) {
		const value = createHash('md5').update(text).digest().readUInt32BE(0);
		hash = value - (value % 2) + 1;
		hashes.set(text, hash);
	}

	return hash;
}
