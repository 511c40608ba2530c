import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget, testModel} from '../../fixtures/create-fleet-target/index.js';
import {createOrganisation, createRoute} from '../../fixtures/create-routing-configuration/index.js';
import {PrefixDirectory} from '../../fleet/prefix-directory/index.js';
import type {RequestId} from '../../identity/ids/index.js';
import type {EngineWork, InboundCall} from '../call-types/index.js';
import {PrefixHints} from '../prefix-hints/index.js';
import {buildAttemptOptions} from './index.js';

const long = {
	model: testModel, promptTokens: 9000, maximumOutputTokens: 10, parts: [{id: 'a', tokens: 6000}, {id: 'b', tokens: 3000}],
};
const short = {...long, parts: [{id: 'a', tokens: 200}, {id: 'b', tokens: 600}]};

const stores = ['10.1.0.1:80', '10.1.0.2:80', '10.1.0.3:80'];

function build(work: EngineWork | undefined, priority?: number) {
	const organisation = createOrganisation('o', {priority});
	const call: InboundCall = {
		id: '1' as RequestId, method: 'POST', path: '/', host: 'h', headers: [], key: undefined, waitMs: undefined, work, lastEventId: undefined, resumes: undefined,
	};
	return buildAttemptOptions({
		call, route: createRoute('r', {priority: 3}), organisation, target: createFleetTarget('t'), hints: new PrefixHints(work, () => organisation.id, new PrefixDirectory()),
		remainingMs: 100, lastEventId: undefined,
		cacheStores: stores.map(address => ({address})),
	});
}

test('guards against short prompts that fill the cache store; long ones read from and write to the same store', () => {
	expect(stores).toInclude(build(long).cacheSource!);
	expect(build(long).cacheDestination).toEqual(build(long).cacheSource);
	expect(build(short).cacheSource).toEqual(undefined);
	expect(build(undefined).cacheScope).toEqual(undefined);
});

test('sends the weights version of the target, so that a target with another version rejects the call', () => {
	expect(build(long).weightsVersion).toEqual(1);
});

test('prefers the priority of the organisation, limited to the range that targets accept', () => {
	expect([build(long).priority, build(long, 0).priority, build(long, 42).priority]).toEqual([3, 0, 9]);
});

test('guards against transfers that queue at one cache store when new weights make all caches cold: prefixes are spread over all stores', () => {
	const counts = new Map<string, number>();
	for (let index = 0; index < 300; index += 1) {
		const work = {...long, parts: [{id: `p${index}`, tokens: 6000}, {id: 'own', tokens: 3000}]};
		const store = build(work).cacheSource!;
		expect(build(work).cacheSource).toEqual(store);
		counts.set(store, (counts.get(store) ?? 0) + 1);
	}

	expect(stores.every(store => (counts.get(store) ?? 0) >= 60)).toEqual(true);
});
