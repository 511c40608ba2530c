import {test} from 'node:test';
import {expect, mockFn} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {FaultyObjectApi} from '../../fixtures/faulty-object-api/index.js';
import type {Incarnation, InstanceId} from '../../identity/ids/index.js';
import {Lease} from '../../leases/lease/index.js';
import {FakePeerNetwork} from '../../peers/fake-peer-network/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import type {ObjectApiError} from '../object-api/index.js';
import {MemoryObjectApi} from '../memory-object-api/index.js';
import {RelayedObjectApi, relayMethod} from './index.js';

const durationMs = 3000;
const acquireIntervalMs = 500;

/** Creates two instances that share an object API. Each can be cut off from it. */
function createInstances() {
	const clock = new ManualClock();
	const memory = new MemoryObjectApi();
	const network = new FakePeerNetwork(clock);
	const ids = ['a' as InstanceId, 'b' as InstanceId];
	const direct = ids.map(() => new FaultyObjectApi(memory, clock));
	const relayed = ids.map((id, index) => {
		const endpoint = network.open(id);
		return new RelayedObjectApi({
			objectApi: direct[index]!, caller: endpoint, registry: endpoint, random: new RandomSource(1), clock,
			listPeers: () => ids.filter(other => other !== id),
		});
	});
	return {
		clock, memory, network, direct, relayed,
	};
}

/** Calls `acquire` repeatedly until it succeeds; resolves to the time that took, in milliseconds. */
async function acquireInTime(lease: Lease, clock: ManualClock): Promise<number> {
	const startedAt = clock.readMonotonic();
	while (!await lease.acquire().catch(() => false)) {
		expect(clock.readMonotonic() - startedAt < 5 * durationMs).toEqual(true);
		await clock.advance(acquireIntervalMs);
	}

	return clock.readMonotonic() - startedAt;
}

test('guards against a lost lease of an instance that cannot reach the object API but can reach a peer', async () => {
	const {clock, direct, relayed} = createInstances();
	const lease = new Lease({
		objectApi: relayed[0]!, clock, name: 'job', holder: 'a', incarnation: 'a-1' as Incarnation, durationMs: 3000,
	});
	expect(await lease.acquire()).toEqual(true);
	direct[0]!.isCut = true;
	for (let round = 0; round < 10; round += 1) {
		await clock.advance(1000);
		expect(await lease.acquire()).toEqual(true);
	}
});

test('guards against a write that takes effect twice after the response to the first attempt was lost', async () => {
	const {direct, relayed, memory} = createInstances();
	const created = await relayed[0]!.create('c', 'n', 1);
	direct[0]!.losesAnswer = mockFn(() => true);
	await expect(relayed[0]!.update('c', 'n', 2, created.resourceVersion)).toBeRejectedWith('is at version');
	const stored = await memory.get<number>('c', 'n');
	expect(stored.value).toEqual(2);
});

test('guards against relaying a call after the object API has reported a missing object', async () => {
	const {relayed, direct} = createInstances();
	await expect(relayed[0]!.get('c', 'missing')).toBeRejectedWith('does not exist');
	expect(direct[1]!.readCount).toEqual(0);
});

test('guards against a lease that is taken on a restored record because the peer that relays it heard of the restore first', async () => {
	for (const isReleased of [true, false]) {
		const {
			clock, memory, direct, relayed,
		} = createInstances();
		const open = (index: number, holder: string, incarnation: string) => new Lease({
			objectApi: relayed[index]!, clock, name: 'job', holder, incarnation: incarnation as Incarnation, durationMs, mayReplaceEarlierIncarnation: true,
		});
		const first = open(0, 'a', 'a-1');
		await first.acquire();
		if (isReleased) {
			await first.release();
		}

		const copy = memory.copy();
		const successor = open(1, 'b', 'b-1');
		await acquireInTime(successor, clock);
		const fencing = successor.readFencing()!;
		direct[0]!.isCut = true;
		memory.restore(copy);
		const restarted = open(0, 'a', 'a-2');
		expect(await restarted.acquire()).toEqual(false);
		expect(await acquireInTime(restarted, clock) > durationMs).toEqual(true);
		expect(successor.isHeld(clock.readMonotonic())).toEqual(false);
		expect(restarted.readFencing()! > fencing + 1).toEqual(true);
	}
});

test('guards against a lease that is created at once after a restore of which only the relaying peer has heard', async () => {
	const {
		clock, memory, direct, relayed,
	} = createInstances();
	const copy = memory.copy();
	const [a, b] = [0, 1].map(index => new Lease({
		objectApi: relayed[index]!, clock, name: 'job', holder: String(index), incarnation: `${index}-1` as Incarnation, durationMs,
	}));
	await b!.acquire();
	const fencing = b!.readFencing()!;
	direct[0]!.isCut = true;
	memory.restore(copy);
	expect(await a!.acquire()).toEqual(false);
	await acquireInTime(a!, clock);
	expect(a!.readFencing()! > fencing).toEqual(true);
});

test('guards against a missing object that a peer of an earlier release reports without its era', async () => {
	const {network, relayed, direct} = createInstances();
	network.open('b' as InstanceId).register(relayMethod, async () => ({failure: 'notFound', message: 'missing'}));
	direct[0]!.isCut = true;
	await expect(relayed[0]!.get('c', 'n')).toBeRejectedWith('era');
});

test('guards against a renewal that is given up with the peer that relays it, although the object API serves this instance again', async () => {
	type Instances = ReturnType<typeof createInstances>;
	const endPeer = ({network}: Instances) => {
		network.remove('b' as InstanceId);
	};

	const cutOffPeer = ({direct}: Instances) => {
		direct[1]!.isCut = true;
	};

	for (const failPeer of [endPeer, cutOffPeer]) {
		const instances = createInstances();
		const {clock, direct, relayed} = instances;
		const lease = new Lease({
			objectApi: relayed[0]!, clock, name: 'job', holder: 'a', incarnation: 'a-1' as Incarnation, durationMs,
		});
		expect(await lease.acquire()).toEqual(true);
		direct[0]!.isCut = true;
		expect(await lease.acquire()).toEqual(true);
		direct[0]!.isCut = false;
		failPeer(instances);
		for (let round = 0; round < 4; round += 1) {
			await clock.advance(acquireIntervalMs);
			expect(await lease.acquire()).toEqual(true);
		}
	}
});

test('guards against a write reported as not done after the answer to one of its two attempts was lost', async () => {
	const {direct, relayed} = createInstances();
	direct[0]!.losesAnswer = mockFn(() => true);
	direct[1]!.isCut = true;
	const failure = await relayed[0]!.create('c', 'n', 1).catch((error: unknown) => (error as ObjectApiError).failure);
	expect(failure).toEqual('unknownOutcome');
});
