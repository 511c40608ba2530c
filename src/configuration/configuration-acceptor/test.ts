import {describe, test} from 'node:test';
import {expect} from 'earl';
import {
	createKey, createModel, createOrganisation, createPolicy, createTarget,
} from '../../fixtures/create-resources/index.js';
import {FakeFleet, type FakeNode} from '../../fixtures/fake-fleet/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import type {Resource} from '../../resources/schemas/index.js';
import {configurationCollection, headName, type ConfigurationHead} from '../configuration-head/index.js';
import {partRetentionMs} from '../head-store/index.js';
import {statusCollection, type ResourceStatus} from '../resource-status/index.js';

const resources: readonly Resource[] = [createOrganisation(), createKey(), createModel(), createTarget()];

async function startFleet(count = 1): Promise<FakeFleet> {
	const fleet = new FakeFleet(count);
	await fleet.write(...resources);
	fleet.start();
	await fleet.advance(1000);
	return fleet;
}

async function readStatus(fleet: FakeFleet, name: string): Promise<ResourceStatus> {
	const object = await fleet.api.get<ResourceStatus>(statusCollection, name);
	return object.value;
}

async function readConditions(fleet: FakeFleet, name: string): Promise<ResourceStatus['conditions']> {
	const {conditions} = await readStatus(fleet, name);
	return conditions;
}

async function listNames(fleet: FakeFleet, collection: string): Promise<string[]> {
	const {items} = await fleet.api.list(collection);
	return items.map(object => object.name);
}

async function readHead(fleet: FakeFleet): Promise<ConfigurationHead> {
	const object = await fleet.api.get<ConfigurationHead>(configurationCollection, headName);
	return object.value;
}

function readKeyState(node: FakeNode): string | undefined {
	return node.follower.readConfiguration().findKey(hashKey('secret'))?.state;
}

describe('ConfigurationAcceptor', () => {
	test('accepts valid resources and reports the revision and the number of instances per resource', async () => {
		const fleet = await startFleet(3);
		await fleet.advance(2000);
		expect(fleet.nodes.map(node => node.revision as number)).toEqual([1, 1, 1]);
		const status = await readStatus(fleet, 'keys.almaty.first');
		expect<unknown>({revision: status.acceptedRevision, inForce: status.inForce}).toEqual({revision: 1, inForce: {instances: 3, of: 3}});
		expect(status.conditions).toEqual([
			{type: 'Accepted', isTrue: true, reason: 'Accepted'}, {type: 'InForce', isTrue: true, reason: 'Everywhere'},
		]);
	});

	test('guards against a refusal that changes the applied configuration or does not report its reason', async () => {
		const fleet = await startFleet();
		await fleet.write(createModel({fleet: 'ceara'}));
		await fleet.write(createOrganisation({tokensPerSecond: 7}));
		await fleet.api.create('routes', 'almaty.broken', {
			kind: 'Route', fleet: 'almaty', name: 'broken', access: 'guess',
		});
		await fleet.advance(2000);
		const [node] = fleet.nodes;
		expect([node!.revision as number, node!.follower.readConfiguration().data.organisations[0]?.tokensPerSecond]).toEqual([1, 1000]);
		const [broken] = await readConditions(fleet, 'routes.almaty.broken');
		expect([broken?.reason, broken?.field, broken?.isTrue]).toEqual(['Invalid', 'access', false]);
		const [studioCondition] = await readConditions(fleet, 'organisations.almaty.studio');
		const {acceptedRevision} = await readStatus(fleet, 'organisations.almaty.studio');
		expect<unknown>([studioCondition?.reason, acceptedRevision]).toEqual(['WholeRefused', 1]);
		await fleet.api.remove('routes', 'almaty.broken');
		await fleet.advance(2000);
		const [collision] = await readConditions(fleet, 'models.ceara.assistant');
		expect([collision?.reason, collision?.field]).toEqual(['NameCollision', 'name']);
		await fleet.write(createPolicy({appliesTo: 'Model', name: 'assistant', mode: 'keepApart'}));
		await fleet.advance(1000);
		expect(node!.follower.readConfiguration().data.organisations[0]?.tokensPerSecond).toEqual(7);
	});

	test('guards against an invalid resource that keeps a withdrawn or deleted key valid', async () => {
		const fleet = await startFleet();
		await fleet.write(createKey({name: 'second', sha256: hashKey('other')}));
		await fleet.advance(500);
		await fleet.write(createModel({fleet: 'ceara'}), createKey({state: 'withdrawn'}));
		await fleet.api.remove('keys', 'almaty.second');
		await fleet.advance(500);
		const [node] = fleet.nodes;
		expect([readKeyState(node!), node!.follower.readConfiguration().findKey(hashKey('other'))?.state]).toEqual(['withdrawn', 'withdrawn']);
		const [condition] = await readConditions(fleet, 'keys.almaty.first');
		expect(condition?.reason).toEqual('WithdrawalAccepted');
	});

	test('guards against a second revision for the same change when the response to the head write is lost', async () => {
		const fleet = await startFleet();
		const [node] = fleet.nodes;
		node!.store.losesAnswer = () => true;
		await fleet.write(createOrganisation({tokensPerSecond: 7}));
		await fleet.advance(2000);
		const headWrites = node!.store.writes.filter(name => name === `${configurationCollection}/${headName}`);
		const {revision} = await readHead(fleet);
		expect([revision as number, headWrites.length]).toEqual([2, 2]);
	});

	test('guards against an acceptor with stale resources that reactivates a withdrawn key', async () => {
		const fleet = await startFleet(2);
		const [first, second] = fleet.nodes as [FakeNode, FakeNode];
		second.isLeader = true;
		await fleet.advance(1000);
		first.store.silenceWatches('keys');
		await fleet.write(createKey({state: 'withdrawn'}));
		await fleet.advance(500);
		expect(readKeyState(second)).toEqual('withdrawn');
		second.isLeader = false;
		await fleet.advance(300);
		// The first acceptor receives this change, while its watch of the keys still delivers no events.
		await fleet.api.remove('targets', 'almaty.worker-0');
		await fleet.advance(500);
		expect([readKeyState(first), readKeyState(second)]).toEqual(['withdrawn', 'withdrawn']);
	});

	test('guards against two contents for one revision while two acceptors run', async () => {
		const fleet = await startFleet(4);
		fleet.nodes[1]!.isLeader = true;
		for (let rate = 1; rate <= 20; rate += 1) {
			await fleet.write(createOrganisation({tokensPerSecond: rate}));
			await fleet.advance(70);
		}

		await fleet.advance(2000);
		const rates = fleet.nodes.map(node => node.follower.readConfiguration().data.organisations[0]?.tokensPerSecond);
		expect(rates).toEqual([20, 20, 20, 20]);
		expect(new Set(fleet.nodes.map(node => node.revision as number)).size).toEqual(1);
	});

	test('guards against one head per resource write and against unbounded status writes to the store', async () => {
		const fleet = await startFleet();
		const [node] = fleet.nodes;
		const start = {writes: node!.store.writes.length, revision: node!.revision};
		const organisations = Array.from({length: 300}, (_, index) => createOrganisation({name: `studio-${index}`}));
		await fleet.write(...organisations);
		await fleet.advance(1000);
		const statusWrites = node!.store.writes.slice(start.writes).filter(name => name.startsWith(statusCollection));
		expect(node!.revision - start.revision).toBeLessThanOrEqual(4);
		expect(statusWrites.length).toBeLessThanOrEqual(110);
		await fleet.advance(8000);
		const [, condition] = await readConditions(fleet, 'organisations.almaty.studio-299');
		expect(condition?.reason).toEqual('Everywhere');
	});

	test('guards against unreferenced parts that are never deleted and against a lost part that is not restored', async () => {
		const fleet = await startFleet();
		await fleet.write(createOrganisation({tokensPerSecond: 7}));
		await fleet.advance(500);
		const before = await listNames(fleet, configurationCollection);
		const {parts} = await readHead(fleet);
		await fleet.api.remove(configurationCollection, `part-${parts[0]!}`);
		// Large steps suffice, because only garbage collection matters here.
		for (let passed = 0; passed < partRetentionMs + 600_000; passed += 60_000) {
			await fleet.clock.advance(60_000);
			await fleet.advance(20);
		}

		const after = await listNames(fleet, configurationCollection);
		expect([before.length - after.length, parts.every(hash => after.includes(`part-${hash}`))]).toEqual([1, true]);
	});

	test('guards against a wiped or restored store that removes the applied configuration or makes revisions decrease', async () => {
		const fleet = await startFleet(2);
		await fleet.write(createOrganisation({tokensPerSecond: 7}));
		await fleet.advance(1500);
		for (const collection of ['organisations', 'keys', 'models', 'targets', configurationCollection]) {
			for (const name of await listNames(fleet, collection)) {
				await fleet.api.remove(collection, name);
			}
		}

		await fleet.advance(1500);
		expect(fleet.nodes.map(node => node.follower.readConfiguration().data.organisations.length)).toEqual([1, 1]);
		await fleet.write(...resources);
		await fleet.advance(1500);
		expect(fleet.nodes.map(node => node.revision as number)).toEqual([3, 3]);
	});

	test('guards against a slow store that prevents acceptance', async () => {
		const fleet = await startFleet();
		const [node] = fleet.nodes;
		node!.store.delayMs = 900;
		await fleet.write(createOrganisation({tokensPerSecond: 7}));
		await fleet.advance(3000);
		expect(node!.follower.readConfiguration().data.organisations[0]?.tokensPerSecond).toEqual(7);
	});
});
