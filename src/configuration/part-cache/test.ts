import {test} from 'node:test';
import {expect} from 'earl';
import {createKey, createOrganisation} from '../../fixtures/create-resources/index.js';
import type {MonotonicMs, Revision} from '../../identity/ids/index.js';
import type {Resource} from '../../resources/schemas/index.js';
import {hashParts, type ConfigurationHead} from '../configuration-head/index.js';
import {resolveConfiguration} from '../resolve-configuration/index.js';
import {splitConfiguration} from '../split-configuration/index.js';
import {PartCache} from './index.js';

/** Longer than parts are kept for peers. */
const longMs = 31_000;

/** Adds the parts of `resources` to the cache at `now`; returns their head. */
function addHead(cache: PartCache, revision: number, resources: readonly Resource[], now: number): ConfigurationHead {
	const parts = splitConfiguration(resolveConfiguration([...resources]));
	for (const [hash, content] of parts) {
		cache.add(hash, content, now as MonotonicMs);
	}

	return {
		revision: revision as Revision, contentHash: hashParts([...parts.keys()]), parts: [...parts.keys()], writer: 'acceptor',
	};
}

test('guards against parts that are evicted while peers still fetch the head before', () => {
	const cache = new PartCache();
	const first = addHead(cache, 1, [createOrganisation()], 0);
	cache.evictUnreferenced(first, 0 as MonotonicMs);
	const second = addHead(cache, 2, [createOrganisation({weight: 2})], longMs);
	cache.evictUnreferenced(second, longMs as MonotonicMs);
	expect(cache.listMissing(first)).toEqual([]);
});

test('guards against parts that are never evicted', () => {
	const cache = new PartCache();
	const first = addHead(cache, 1, [createOrganisation()], 0);
	cache.evictUnreferenced(first, 0 as MonotonicMs);
	const second = addHead(cache, 2, [createOrganisation({weight: 2})], 1000);
	cache.evictUnreferenced(second, 1000 as MonotonicMs);
	const third = addHead(cache, 3, [createOrganisation({weight: 2}), createKey()], 1000 + longMs);
	cache.evictUnreferenced(third, 1000 + longMs as MonotonicMs);
	expect([cache.listMissing(first).length > 0, cache.listMissing(second), cache.listMissing(third)]).toEqual([true, [], []]);
});
