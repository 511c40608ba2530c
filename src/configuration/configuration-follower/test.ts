import {describe, test} from 'node:test';
import {expect} from 'earl';
import {createKey, createOrganisation, createRoute} from '../../fixtures/create-resources/index.js';
import {FakeFleet, type FakeNode} from '../../fixtures/fake-fleet/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import type {RouterError} from '../../results/create-router-error/index.js';

async function startFleet(count: number, seed = 1): Promise<FakeFleet> {
	const fleet = new FakeFleet(count, seed);
	await fleet.write(createOrganisation(), createKey(), createRoute({access: 'open'}));
	fleet.start();
	await fleet.advance(2000);
	return fleet;
}

function listRevisions(fleet: FakeFleet): number[] {
	return fleet.nodes.map(node => node.revision);
}

function repeat(value: number, count: number): number[] {
	return Array.from({length: count}, () => value);
}

function readKeyState(node: FakeNode): string | undefined {
	try {
		return node.follower.readConfiguration().findKey(hashKey('secret'))?.state;
	} catch (error) {
		return (error as RouterError).entry.name;
	}
}

describe('ConfigurationFollower', () => {
	test('guards against a new revision that does not reach all instances while only two per data centre watch the store', async () => {
		const fleet = await startFleet(17);
		await fleet.write(createOrganisation({tokensPerSecond: 7}));
		await fleet.advance(400);
		expect(listRevisions(fleet)).toEqual(repeat(2, 17));
		await fleet.advance(10_000);
		const watching = fleet.nodes.filter(node => node.store.watchCount > 0);
		expect(watching.map(node => node.index)).toEqual([0, 1, 2, 3, 4, 5]);
	});

	test('guards against a store outage of one minute that changes the applied configuration or blocks the next revision', async () => {
		const fleet = await startFleet(9);
		fleet.api.setDown(true);
		await fleet.advance(60_000);
		expect([listRevisions(fleet), fleet.nodes.map(node => readKeyState(node))] as unknown).toEqual([repeat(1, 9), Array.from({length: 9}, () => 'active')]);
		fleet.api.setDown(false);
		await fleet.write(createKey({state: 'withdrawn'}));
		await fleet.advance(5000);
		expect(listRevisions(fleet)).toEqual(repeat(2, 9));
	});

	test('guards against a watch that stops delivering events and so keeps a withdrawn key valid', async () => {
		const fleet = await startFleet(1);
		fleet.nodes[0]!.store.silenceWatches();
		await fleet.write(createKey({state: 'withdrawn'}));
		await fleet.advance(4500);
		expect(readKeyState(fleet.nodes[0]!)).toEqual('withdrawn');
	});

	test('guards against a restarted instance that applies the older revision of a lagging peer', async () => {
		const fleet = await startFleet(9);
		// Instance 7 misses the second revision, and the store is down when instance 8 restarts.
		fleet.partitionedInstances.add(fleet.nodes[7]!.id);
		fleet.nodes[7]!.store.isCut = true;
		await fleet.write(createKey({state: 'withdrawn'}));
		await fleet.advance(1000);
		fleet.api.setDown(true);
		fleet.partitionedInstances.clear();
		const lagging = fleet.nodes[7]!.revision as number;
		const node = fleet.restart(8);
		node.start();
		await fleet.advance(1000);
		expect([lagging, node.applied as number[], readKeyState(node)] as unknown).toEqual([1, [2], 'withdrawn']);
	});

	test('guards against instances that restart together during a store outage and wait for the store', async () => {
		const fleet = await startFleet(17);
		fleet.api.setDown(true);
		for (let index = 1; index < 17; index += 1) {
			fleet.restart(index).start();
		}

		await fleet.advance(1000);
		expect(listRevisions(fleet)).toEqual(repeat(1, 17));
	});

	test('guards against an unresponsive peer with the highest revision that blocks fetching a lower one from another peer', async () => {
		const fleet = await startFleet(6);
		const node = fleet.nodes[4]!;
		node.store.isCut = true;
		fleet.partitionedInstances.add(node.id);
		await fleet.write(createOrganisation({tokensPerSecond: 7}));
		await fleet.advance(1000);
		fleet.partitionedInstances.delete(node.id);
		node.follower.recordPeerRevision('entry-99' as FakeNode['id'], 9 as FakeNode['revision']);
		await fleet.advance(2500);
		expect(node.revision as number).toEqual(2);
	});

	test('guards against a restored older head that replaces a newer one', async () => {
		const fleet = await startFleet(2);
		const [first] = fleet.nodes as [FakeNode];
		const {items} = await fleet.api.list('configurations');
		const oldHead = items.find(object => object.name === 'head')!.value;
		await fleet.write(createKey({state: 'withdrawn'}));
		await fleet.advance(1000);
		first.isLeader = false;
		await fleet.advance(1000);
		const {resourceVersion} = await fleet.api.get('configurations', 'head');
		await fleet.api.update('configurations', 'head', oldHead, resourceVersion);
		await fleet.advance(3000);
		expect(listRevisions(fleet)).toEqual([2, 2]);
		expect(first.invariants.violations.size).toEqual(0);
	});

	test('guards against accepting keys on an isolated instance, which cannot learn that a key was withdrawn', async () => {
		const fleet = await startFleet(3);
		const node = fleet.nodes[1]!;
		const setCut = (isCut: boolean) => {
			node.store.isCut = isCut;
			if (isCut) {
				fleet.partitionedInstances.add(node.id);
			} else {
				fleet.partitionedInstances.delete(node.id);
			}
		};

		setCut(true);
		await fleet.advance(3900);
		const before = readKeyState(node);
		await fleet.advance(2200);
		expect([before, readKeyState(node)]).toEqual(['active', 'isolated']);
		expect(node.follower.readConfiguration().findServiceRoute('/orders')?.access).toEqual('open');
		node.store.isCut = false;
		await fleet.advance(3000);
		expect(readKeyState(node)).toEqual('active');
		setCut(false);
	});

	test('guards against a single instance without peers that refuses keys during a store outage', async () => {
		const fleet = await startFleet(1);
		fleet.api.setDown(true);
		await fleet.advance(20_000);
		expect(readKeyState(fleet.nodes[0]!)).toEqual('active');
	});

	test('guards against a dump that shows a key or its hash', async () => {
		const fleet = await startFleet(1);
		const [node] = fleet.nodes as [FakeNode];
		const text = JSON.stringify([node.follower.dump(), node.acceptor.dump()]);
		expect([text.includes(hashKey('secret')), text.includes('almaty/first')]).toEqual([false, true]);
	});
});
