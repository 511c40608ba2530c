import {test} from 'node:test';
import {expect} from 'earl';
import {PrefixDirectory} from '../../fleet/prefix-directory/index.js';
import {createFleetTarget, testModel} from '../../fixtures/create-fleet-target/index.js';
import {createOrganisation} from '../../fixtures/create-routing-configuration/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {CacheNamespaces} from '../../routing/cache-namespaces/index.js';
import {PrefixHints} from './index.js';

const now = 0 as MonotonicMs;
const work = {
	model: testModel, promptTokens: 9000, maximumOutputTokens: 10, parts: [{id: 'a', tokens: 2500}, {id: 'b', tokens: 3500}, {id: 'c', tokens: 3000}],
};

test('guards against the use of cache entries of older weights or of isolated organisations', () => {
	const target = createFleetTarget('t');
	const organisations = [createOrganisation('one'), createOrganisation('two', {isIsolated: true})];
	const namespaces = new CacheNamespaces(organisations);
	const createHints = (index: number) => new PrefixHints(work, () => namespaces.find(organisations[index]!.id), new PrefixDirectory());
	const shared = createHints(0);
	const isolated = createHints(1);
	const scopes = [shared.formatCacheScope(target), isolated.formatCacheScope(target)];
	target.recordVersion(testModel, 2);
	scopes.push(shared.formatCacheScope(target), isolated.formatCacheScope(target));
	expect(new Set(scopes).size).toEqual(4);
});

test('guards against a retry of a call in a namespace that is no longer in force, and against holders that are remembered from it', () => {
	let namespace = 'before';
	const target = createFleetTarget('t');
	const hints = new PrefixHints(work, () => namespace, new PrefixDirectory());
	hints.recordUse(target, now);
	const scope = hints.formatCacheScope(target);
	namespace = 'after';
	expect(hints.formatCacheScope(target) === scope).toEqual(false);
	expect(hints.estimatePrefillTokens(target, now)).toEqual(9000);
});

test('estimates a prefill of only the last part where the shared prefix is held for the same weights', () => {
	const directory = new PrefixDirectory();
	const target = createFleetTarget('t');
	const hints = new PrefixHints(work, () => '', directory);
	expect(hints.estimatePrefillTokens(target, now)).toEqual(9000);
	hints.recordUse(target, now);
	expect(hints.estimatePrefillTokens(target, now)).toEqual(3000);
	target.recordVersion(testModel, 2);
	expect(hints.estimatePrefillTokens(target, now)).toEqual(9000);
});

test('gives no hints for short prefixes and plain calls', () => {
	const short = new PrefixHints({...work, parts: [{id: 'a', tokens: 200}, {id: 'c', tokens: 600}]}, () => '', new PrefixDirectory());
	expect(short.sharedPrefix).toEqual(undefined);
	const plain = new PrefixHints(undefined, () => '', new PrefixDirectory());
	expect(plain.formatCacheScope(createFleetTarget('t'))).toEqual(undefined);
});

test('estimates the work that all calls with the shared prefix bring to its holders, for the weights that these serve', () => {
	const directory = new PrefixDirectory();
	const target = createFleetTarget('t');
	const hints = new PrefixHints(work, () => '', directory);
	for (let ms = 0; ms < 20_000; ms += 100) {
		hints.recordUse(target, ms as MonotonicMs);
	}

	const perSecond = hints.measurePromptTokensPerSecond(new Set([target]), 20_000 as MonotonicMs);
	expect(perSecond > 27_000 && perSecond < 33_000).toEqual(true);
	expect(hints.measurePromptTokensPerSecond(new Set(), 20_000 as MonotonicMs)).toEqual(0);
	target.recordVersion(testModel, 2);
	expect(hints.measurePromptTokensPerSecond(new Set([target]), 20_000 as MonotonicMs)).toEqual(0);
});
