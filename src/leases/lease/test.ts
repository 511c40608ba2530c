import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import type {Incarnation} from '../../identity/ids/index.js';
import {MemoryObjectApi} from '../../store/memory-object-api/index.js';
import {
	Lease, leaseCollection, type LeaseOptions, type LeaseRecord,
} from './index.js';

const durationMs = 10_000;

function createContender(objectApi: MemoryObjectApi, holder: string, options: Partial<LeaseOptions> = {}) {
	const clock = new ManualClock();
	const lease = new Lease({
		objectApi, clock, name: 'job', holder, incarnation: `${holder}-1` as Incarnation, durationMs, ...options,
	});
	return {clock, lease, isHeld: () => lease.isHeld(clock.readMonotonic())};
}

type Contender = ReturnType<typeof createContender>;

/** Calls `acquire` every second until it succeeds; resolves to the number of seconds. */
async function countSecondsToAcquire({lease, clock}: ReturnType<typeof createContender>, limitSeconds = 60): Promise<number> {
	for (let second = 0; second < limitSeconds; second += 1) {
		if (await lease.acquire().catch(() => false)) {
			return second;
		}

		await clock.advance(1000);
	}

	return limitSeconds;
}

test('guards against two holders when a holder is paused: it finds its lease expired and can\'t renew it', async () => {
	const objectApi = new MemoryObjectApi();
	const [a, b] = [createContender(objectApi, 'a'), createContender(objectApi, 'b')];
	expect(await a.lease.acquire()).toEqual(true);
	expect(await countSecondsToAcquire(b)).toEqual(11);
	await a.clock.advance(11_000);
	expect(a.isHeld()).toEqual(false);
	expect(await a.lease.renew()).toEqual(false);
	expect(b.lease.readFencing()).toEqual(2 as never);
	expect(b.isHeld()).toEqual(true);
});

test('guards against a contender that acquires a lease while its holder renews it', async () => {
	const objectApi = new MemoryObjectApi();
	const [a, b] = [createContender(objectApi, 'a'), createContender(objectApi, 'b')];
	await a.lease.acquire();
	for (let second = 0; second < 40; second += 1) {
		expect(await a.lease.renew()).toEqual(true);
		expect(await b.lease.acquire()).toEqual(false);
		await Promise.all([a.clock.advance(1000), b.clock.advance(1000)]);
	}
});

test('guards against more than one holder among contenders that acquire concurrently', async () => {
	const objectApi = new MemoryObjectApi();
	const contenders = ['a', 'b'].map(name => createContender(objectApi, name));
	const first = await Promise.all(contenders.map(async contender => contender.lease.acquire()));
	expect(first.filter(Boolean).length).toEqual(1);
	const laterContenders = [createContender(objectApi, 'c'), createContender(objectApi, 'd')];
	let winners = 0;
	for (let second = 0; second < 20 && winners === 0; second += 1) {
		const results = await Promise.all(laterContenders.map(async contender => contender.lease.acquire()));
		winners = results.filter(Boolean).length;
		await Promise.all(laterContenders.map(async contender => contender.clock.advance(1000)));
	}

	expect(winners).toEqual(1);
});

test('guards against losing a lease, or counting it from a later time, when answers are lost', async () => {
	const objectApi = new MemoryObjectApi();
	const a = createContender(objectApi, 'a');
	objectApi.faults.lostAnswers = 1;
	expect(await a.lease.acquire()).toEqual(true);
	expect(objectApi.calls.write).toEqual(1);
	await a.clock.advance(4000);
	objectApi.faults.lostAnswers = 1;
	expect(await a.lease.renew()).toEqual(true);
	expect(objectApi.calls.write).toEqual(2);
	expect(a.lease.readExpiry()).toEqual(14_000 as never);
});

test('guards against a validity that counts from the answer to a write instead of its sending', async () => {
	const objectApi = new MemoryObjectApi();
	const a = createContender(objectApi, 'a');
	const update = objectApi.update.bind(objectApi);
	objectApi.update = async (...parameters) => {
		await a.clock.advance(3000);
		return update(...parameters);
	};

	await a.lease.acquire();
	await a.lease.renew();
	expect(a.lease.readExpiry()).toEqual(10_000 as never);
	objectApi.faults.lostAnswers = 1;
	await a.lease.renew();
	expect(a.lease.readExpiry()).toEqual(13_000 as never);
});

test('guards against a write that takes effect only after a read showed it as missing', async () => {
	const objectApi = new MemoryObjectApi();
	const a = createContender(objectApi, 'a');
	await a.lease.acquire();
	const update = objectApi.update.bind(objectApi);
	const delayedWrites: Array<() => Promise<unknown>> = [];
	objectApi.update = async (...parameters) => {
		delayedWrites.push(async () => update(...parameters));
		objectApi.faults.lostAnswers = 1;
		return objectApi.create('other', String(delayedWrites.length), {}) as never;
	};

	await a.clock.advance(2000);
	await expect(a.lease.renew()).toBeRejected();
	expect(a.lease.readExpiry()).toEqual(10_000 as never);
	objectApi.update = update;
	await delayedWrites[0]?.();
	await a.clock.advance(3000);
	expect(await a.lease.renew()).toEqual(true);
	expect(a.lease.readExpiry()).toEqual(12_000 as never);
	expect(await a.lease.renew()).toEqual(true);
	expect(a.lease.readExpiry()).toEqual(15_000 as never);
});

test('guards against an acquisition right after an outage: the store must answer for as long as the record is observed', async () => {
	const objectApi = new MemoryObjectApi();
	const [a, b] = [createContender(objectApi, 'a'), createContender(objectApi, 'b')];
	await a.lease.acquire();
	await b.lease.acquire();
	objectApi.setDown(true);
	await b.clock.advance(1000);
	await expect(b.lease.acquire()).toBeRejected();
	objectApi.setDown(false);
	await b.clock.advance(1000);
	expect(await countSecondsToAcquire(b)).toEqual(11);
	const c = createContender(objectApi, 'c');
	await c.lease.acquire();
	await c.clock.advance(20_000);
	expect(await c.lease.acquire()).toEqual(false);
});

test('guards against an outage that ends or extends the validity', async () => {
	const objectApi = new MemoryObjectApi();
	const a = createContender(objectApi, 'a');
	await a.lease.acquire();
	objectApi.setDown(true);
	await a.clock.advance(9999);
	await expect(a.lease.renew()).toBeRejected();
	expect(a.isHeld()).toEqual(true);
	await a.clock.advance(1);
	expect(a.isHeld()).toEqual(false);
	objectApi.setDown(false);
	expect(await a.lease.renew()).toEqual(true);
	expect(a.isHeld()).toEqual(true);
});

test('guards against a wait after a release, and against a fencing number used twice', async () => {
	const objectApi = new MemoryObjectApi();
	const [a, b] = [createContender(objectApi, 'a'), createContender(objectApi, 'b')];
	await a.lease.acquire();
	await a.lease.release();
	expect(a.isHeld()).toEqual(false);
	expect(await b.lease.acquire()).toEqual(true);
	expect(b.lease.readFencing()).toEqual(2 as never);
});

test('guards against a predecessor that takes the lease back from its successor', async () => {
	const objectApi = new MemoryObjectApi();
	const [old, next] = ['old', 'next'].map(incarnation => createContender(objectApi, 'a', {incarnation: incarnation as Incarnation, mayReplaceEarlierIncarnation: true}));
	await old?.lease.acquire();
	expect(await next?.lease.acquire()).toEqual(true);
	expect(await old?.lease.renew()).toEqual(false);
	expect(await old?.lease.acquire()).toEqual(false);
	const record = await objectApi.get<LeaseRecord>(leaseCollection, 'job');
	expect(record.value.incarnation).toEqual('next' as Incarnation);
});

test('guards against two holders after the object API was restored from a copy that has an older record or none', async () => {
	for (const heldInCopy of [false, true]) {
		const objectApi = new MemoryObjectApi();
		const [a, b] = [createContender(objectApi, 'a'), createContender(objectApi, 'b')];
		const early = objectApi.copy();
		await a.lease.acquire();
		const copy = heldInCopy ? objectApi.copy() : early;
		expect(await countSecondsToAcquire(b)).toEqual(11);
		const fencing = b.lease.readFencing()!;
		await a.clock.advance(11_000);
		objectApi.restore(copy);
		const waitSeconds = await countSecondsToAcquire(a);
		expect(waitSeconds > durationMs / 1000 && waitSeconds < 15).toEqual(true);
		expect(a.lease.readFencing()! > fencing).toEqual(true);
	}
});

test('guards against a holder that can neither renew its lease nor acquire it again after a restore brought its older record back', async () => {
	const objectApi = new MemoryObjectApi();
	const contender = createContender(objectApi, 'a');
	await contender.lease.acquire();
	const copy = objectApi.copy();
	await contender.lease.renew();
	await contender.lease.renew();
	objectApi.restore(copy);
	const waitSeconds = await countSecondsToAcquire(contender);
	expect(waitSeconds > durationMs / 1000 && waitSeconds < 15).toEqual(true);
	expect(contender.isHeld()).toEqual(true);
});

test('guards against a released record, or one of an earlier incarnation, that a restore brings back while another holder acts', async () => {
	for (const isReleased of [true, false]) {
		const objectApi = new MemoryObjectApi();
		const [a, b] = [createContender(objectApi, 'a'), createContender(objectApi, 'b')];
		await a.lease.acquire();
		if (isReleased) {
			await a.lease.release();
		}

		const copy = objectApi.copy();
		await countSecondsToAcquire(b);
		objectApi.restore(copy);
		const restarted = createContender(objectApi, 'a', {incarnation: 'a-2' as Incarnation, mayReplaceEarlierIncarnation: true});
		const waitSeconds = await countSecondsToAcquire(restarted);
		expect(waitSeconds > durationMs / 1000 && waitSeconds < 15).toEqual(true);
		expect(restarted.lease.readFencing()! > b.lease.readFencing()!).toEqual(true);
	}
});

test('guards against a lease that is created in another era than the one in which its record was missing', async () => {
	const objectApi = new MemoryObjectApi();
	const a = createContender(objectApi, 'a');
	const copy = objectApi.copy();
	const create = objectApi.create.bind(objectApi);
	objectApi.create = async (...parameters) => {
		objectApi.restore(copy);
		objectApi.create = create;
		return create(...parameters);
	};

	expect(await a.lease.acquire()).toEqual(false);
	const waitSeconds = await countSecondsToAcquire(a);
	expect(waitSeconds > durationMs / 1000 && waitSeconds < 15).toEqual(true);
	expect(a.lease.readFencing()! > 1_000_000).toEqual(true);
});

test('guards against a holder that does not wait for the one before it because a restore has lost the record, and against a pause without one', async () => {
	const objectApi = new MemoryObjectApi();
	const pauseMs = 2000;
	const [a, b] = ['a', 'b'].map(name => createContender(objectApi, name, {calculatePauseMs: () => pauseMs})) as [Contender, Contender];
	const copy = objectApi.copy();
	await a.lease.acquire();
	expect(a.lease.readUsableFrom() <= a.clock.readMonotonic()).toEqual(true);
	expect(await b.lease.acquire()).toEqual(false);
	objectApi.restore(copy);
	await countSecondsToAcquire(b);
	expect(b.isHeld()).toEqual(true);
	expect(b.lease.readUsableFrom() - b.clock.readMonotonic()).toEqual(pauseMs);
});
