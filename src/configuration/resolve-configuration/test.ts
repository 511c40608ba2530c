import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	createKey, createModel, createOrganisation, createPolicy, createRoute, createTarget,
} from '../../fixtures/create-resources/index.js';
import type {FleetId, KeyHash, Revision} from '../../identity/ids/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import type {Resource} from '../../resources/schemas/index.js';
import {Configuration} from '../configuration/index.js';
import {resolveConfiguration} from './index.js';

const almaty = 'almaty' as FleetId;
const ceara = 'ceara' as FleetId;

function readError(resources: readonly Resource[]): string {
	try {
		resolveConfiguration(resources);
		return 'accepted';
	} catch (error) {
		return (error as Error).message;
	}
}

const bothModels = [createModel(), createModel({fleet: 'ceara', weightsVersion: 'v2'})];

describe('names of two fleets', () => {
	test('a name that one fleet uses resolves to itself, and its qualified name resolves as well', () => {
		const configuration = new Configuration(1 as Revision, resolveConfiguration([createModel()]));
		expect([
			configuration.findModel('assistant', almaty)?.id, configuration.findModel('almaty/assistant', ceara)?.id,
		] as unknown).toEqual(['assistant', 'assistant']);
	});

	test('guards against a name collision that is resolved by a guess instead of being refused with resource, field and reason', () => {
		const message = readError(bothModels);
		expect(message).toMatchRegex(/models\/almaty\.assistant: name: Model "assistant" is used by the fleets almaty and ceara/u);
		expect(message).toMatchRegex(/models\/ceara\.assistant: name: .*"mode": "keepApart"\} or "join"/u);
	});

	test('with mode keepApart, each fleet resolves the name to its own model and reaches the other model by its qualified name', () => {
		const policy = createPolicy({appliesTo: 'Model', name: 'assistant', mode: 'keepApart'});
		const configuration = new Configuration(1 as Revision, resolveConfiguration([...bothModels, policy]));
		expect([
			configuration.findModel('assistant', almaty)?.id,
			configuration.findModel('assistant', ceara)?.id,
			configuration.findModel('ceara/assistant', almaty)?.weightsVersion,
		] as unknown).toEqual(['almaty/assistant', 'ceara/assistant', 'v2']);
	});

	test('guards against a join that silently uses one of two differing specifications', () => {
		const policy = createPolicy({appliesTo: 'Model', name: 'assistant'});
		expect(readError([...bothModels, policy])).toMatchRegex(/models\/ceara\.assistant: weightsVersion: .*"v1" in almaty and "v2" in ceara/u);
	});

	test('guards against a joined route whose service is kept apart: a join compares the resolved names', () => {
		const worker = createTarget({
			type: 'service', service: 'orders', models: [], name: 'orders-0',
		});
		const resources = [
			worker,
			{...worker, fleet: 'ceara', name: 'orders-9'},
			createRoute(),
			createRoute({fleet: 'ceara'}),
			createPolicy({appliesTo: 'Route', name: 'orders'}),
			createPolicy({appliesTo: 'Service', name: 'orders', mode: 'keepApart'}),
		];
		expect(readError(resources)).toMatchRegex(/routes\/ceara\.orders: service: .*"almaty\/orders" in almaty and "ceara\/orders" in ceara/u);
	});

	test('fleets that join an organisation must agree on rate and burst unless the policy sets them', () => {
		const resources = [createOrganisation(), createOrganisation({fleet: 'ceara', tokensPerSecond: 500})];
		expect(readError([...resources, createPolicy()])).toMatchRegex(/organisations\/ceara\.studio: tokensPerSecond: .*1000 in almaty and 500 in ceara/u);
		const data = resolveConfiguration([...resources, createPolicy({tokensPerSecond: 1500})]);
		expect(data.organisations as unknown).toEqual([{
			id: 'studio', fleets: ['almaty', 'ceara'], tokensPerSecond: 1500, burstTokens: 2000, weight: 1,
		}]);
	});

	test('guards against a rate or burst in a policy that would be ignored because the policy does not join', () => {
		const policy = createPolicy({mode: 'keepApart', burstTokens: 5});
		expect(readError([policy])).toMatchRegex(/namepolicies\/organisation\.studio: burstTokens: only a policy that joins/u);
	});

	test('guards against references to names that the fleet does not declare, even if another fleet does', () => {
		const message = readError([createOrganisation({fleet: 'ceara'}), createKey(), createTarget(), createRoute({service: undefined, model: 'assistant'})]);
		expect(message).toMatchRegex(/keys\/almaty\.first: organisation: fleet almaty has no organisation "studio"/u);
		expect(message).toMatchRegex(/targets\/almaty\.worker-0: models\.0: fleet almaty has no model "assistant"/u);
		expect(message).toMatchRegex(/routes\/almaty\.orders: model: /u);
	});

	test('guards against one secret that leads to two organisations, and against its hash in the error message', () => {
		const resources = [createOrganisation(), createOrganisation({name: 'travel'}), createKey(), createKey({name: 'second', organisation: 'travel'})];
		expect(readError(resources)).toMatchRegex(/keys\/almaty\.second: sha256: the secret is taken by keys\/almaty\.first/u);
		expect(readError(resources)).not.toMatchRegex(new RegExp(hashKey('secret'), 'u'));
	});

	test('guards against open paths and open models that a caller without a key cannot tell apart', () => {
		const routes = [createRoute({access: 'open'}), createRoute({access: 'open', fleet: 'ceara', name: 'orders-ceara'})];
		expect(readError(routes)).toMatchRegex(/routes\/ceara\.orders-ceara: pathPrefix: open path "\/orders" is taken by routes\/almaty\.orders/u);
		const openModels = [almaty, ceara].map(fleet => createRoute({
			fleet, name: `open-${fleet}`, access: 'open', service: undefined, pathPrefix: undefined, model: 'assistant',
		}));
		const policy = createPolicy({appliesTo: 'Model', name: 'assistant', mode: 'keepApart'});
		expect(readError([...bothModels, policy, ...openModels])).toMatchRegex(/routes\/ceara\.open-ceara: model: open model name "assistant" is taken/u);
	});

	test('a key of one fleet can use an open route of the other fleet, but never a keyed one', () => {
		const routes = [createRoute({access: 'open'}), createRoute({name: 'keyed', pathPrefix: '/orders/keyed'})];
		const configuration = new Configuration(1 as Revision, resolveConfiguration(routes));
		expect(configuration.findServiceRoute('/orders/keyed/1', ceara)?.id as unknown).toEqual('orders');
		expect(configuration.findServiceRoute('/orders/keyed/1', almaty)?.id as unknown).toEqual('keyed');
	});

	test('with mode keepApart, the key of each fleet leads to the organisation of its fleet', () => {
		const resources = [
			createOrganisation(),
			createOrganisation({fleet: 'ceara'}),
			createPolicy({mode: 'keepApart'}),
			createKey(),
			createKey({fleet: 'ceara', sha256: hashKey('other')}),
		];
		const configuration = new Configuration(1 as Revision, resolveConfiguration(resources));
		const findOrganisationId = (secret: string) => configuration.findKey(hashKey(secret) satisfies KeyHash)?.organisation as unknown;
		expect([findOrganisationId('secret'), findOrganisationId('other')]).toEqual(['almaty/studio', 'ceara/studio']);
	});
});
