import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget, testModel} from '../../fixtures/create-fleet-target/index.js';
import {createOrganisation, createRoute} from '../../fixtures/create-routing-configuration/index.js';
import {PrefixDirectory} from '../../fleet/prefix-directory/index.js';
import type {DataCentreId, RequestId} from '../../identity/ids/index.js';
import type {EngineWork, InboundCall} from '../call-types/index.js';
import {PrefixHints} from '../prefix-hints/index.js';
import {buildAttemptOptions} from './index.js';

const long = {
	model: testModel, promptTokens: 9000, maximumOutputTokens: 10, parts: [{id: 'a', tokens: 6000}, {id: 'b', tokens: 3000}],
};
const short = {...long, parts: [{id: 'a', tokens: 200}, {id: 'b', tokens: 600}]};

function build(work: EngineWork | undefined, priority?: number) {
	const organisation = createOrganisation('o', {priority});
	const call: InboundCall = {
		id: '1' as RequestId, method: 'POST', path: '/', host: 'h', headers: [], key: undefined, waitMs: undefined, work, lastEventId: undefined,
	};
	return buildAttemptOptions({
		call, route: createRoute('r', {priority: 3}), organisation, target: createFleetTarget('t'), hints: new PrefixHints(work, organisation, new PrefixDirectory()),
		remainingMs: 100, lastEventId: undefined, dataCentre: 'dc-2' as DataCentreId,
		cacheStores: [{address: 's1', dataCentre: 'dc-1' as DataCentreId}, {address: 's2', dataCentre: 'dc-2' as DataCentreId}],
	});
}

test('guards against short prompts that fill the cache store; long ones use the store of the own data centre', () => {
	expect([build(long).cacheSource, build(long).cacheDestination]).toEqual(['s2', 's2']);
	expect(build(short).cacheSource).toEqual(undefined);
	expect(build(undefined).cacheScope).toEqual(undefined);
});

test('names the weights of the target, so that one with others refuses the call', () => {
	expect(build(long).weightsVersion).toEqual(1);
});

test('prefers the priority of the organisation, within what targets know', () => {
	expect([build(long).priority, build(long, 0).priority, build(long, 42).priority]).toEqual([3, 0, 9]);
});
