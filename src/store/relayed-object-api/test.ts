import {test} from 'node:test';
import {expect, mockFn} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {FaultyObjectApi} from '../../fixtures/faulty-object-api/index.js';
import type {Incarnation, InstanceId} from '../../identity/ids/index.js';
import {Lease} from '../../leases/lease/index.js';
import {FakePeerNetwork} from '../../peers/fake-peer-network/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {MemoryObjectApi} from '../memory-object-api/index.js';
import {RelayedObjectApi} from './index.js';

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
		clock, memory, direct, relayed,
	};
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
