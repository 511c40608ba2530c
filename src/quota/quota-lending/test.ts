import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createOrganisation} from '../../fixtures/create-routing-configuration/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import type {Member} from '../../membership/member/index.js';
import {FakeDatagramNetwork} from '../../peers/fake-datagram-network/index.js';
import {FakePeerNetwork} from '../../peers/fake-peer-network/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {QuotaLending} from './index.js';

const quota = {
	tokensPerSecond: 40_000, burstTokens: 40_000, plainCallTokens: 200, countsTokens: true,
};
const organisation = createOrganisation('org', {quota});
const callTokens = 4000;

/** Creates instances that share the quota of one organisation. */
function createFleet(count: number, extraTokens = 0, sharedQuota = organisation, ratio = 0) {
	const clock = new ManualClock();
	const network = new FakePeerNetwork(clock);
	const ids = Array.from({length: count}, (_, index) => `i${index}` as InstanceId);
	const members = ids.map(id => ({id, peerAddress: id, state: 'live'}) as unknown as Member);
	const datagrams = new FakeDatagramNetwork();
	const lendings = ids.map((id, index) => {
		const endpoint = network.open(id);
		const lending = new QuotaLending({
			clock, random: new RandomSource(index + 1), caller: endpoint, registry: endpoint, countInstances: () => count,
			self: id, listPeers: () => members.filter(other => other.id !== id), readTolerance: () => ({ratio, extraTokens}),
			channel: datagrams.open(id),
		});
		lending.apply([sharedQuota]);
		void lending.run(new AbortController().signal);
		return lending;
	});
	return {
		clock, network, ids, lendings,
	};
}

/** Charges one call and advances the clock until the result is there, as lenders that don't answer time out. */
async function chargeCall(fleet: ReturnType<typeof createFleet>, instance: number): Promise<boolean> {
	const results: boolean[] = [];
	void fleet.lendings[instance]!.charge(organisation, callTokens).then(result => {
		results.push(result);
	});
	await fleet.clock.advance(0);
	while (results.length === 0) {
		await fleet.clock.advance(10);
	}

	return results[0]!;
}

/** Charges calls for `seconds`, each at the instance that `choose` returns. Resolves to the admitted tokens. */
async function driveFleet(fleet: ReturnType<typeof createFleet>, callsPerSecond: number, seconds: number, choose: (index: number) => number): Promise<number> {
	let admitted = 0;
	for (let index = 0; index < callsPerSecond * seconds; index += 1) {
		admitted += await chargeCall(fleet, choose(index)) ? callTokens : 0;
		await fleet.clock.advance(1000 / callsPerSecond);
	}

	return admitted;
}

test('guards against refusing calls within the rate when all arrive at one of eight instances', async () => {
	const fleet = createFleet(8);
	await fleet.clock.advance(2000);
	const admitted = await driveFleet(fleet, 8, 10, () => 0);
	expect(admitted >= 0.95 * 8 * 10 * callTokens).toEqual(true);
});

test('guards against an organisation that exceeds its quota by sending seven times its rate to all instances', async () => {
	const fleet = createFleet(8);
	await fleet.clock.advance(2000);
	const admitted = await driveFleet(fleet, 70, 8, index => index % 8);
	expect(admitted <= (8 * quota.tokensPerSecond) + quota.burstTokens + (8 * callTokens)).toEqual(true);
	expect(admitted >= 0.9 * 8 * quota.tokensPerSecond).toEqual(true);
});

test('guards against creating tokens when answers of lenders are lost', async () => {
	const fleet = createFleet(4);
	await fleet.clock.advance(2000);
	for (const id of fleet.ids.slice(1)) {
		fleet.network.setPartitioned(id, fleet.ids[0]!, true);
	}

	const startedAt = fleet.clock.readMonotonic();
	const admitted = await driveFleet(fleet, 40, 4, () => 0);
	const seconds = (fleet.clock.readMonotonic() - startedAt) / 1000;
	expect(admitted <= ((seconds * quota.tokensPerSecond / 4) + (quota.burstTokens / 4) + callTokens)).toEqual(true);
});

test('refunds the tokens of a call that did not run', async () => {
	const fleet = createFleet(1);
	await fleet.clock.advance(1000);
	expect(await fleet.lendings[0]!.charge(organisation, 40_000)).toEqual(true);
	expect(await fleet.lendings[0]!.charge(organisation, 40_000)).toEqual(false);
	fleet.lendings[0]!.refund(organisation, 40_000);
	expect(await fleet.lendings[0]!.charge(organisation, 40_000)).toEqual(true);
});

test('guards against refusing all calls after a restart of all instances, or admitting more than half of the extra tokens', async () => {
	const extraTokens = 110_000;
	const fleet = createFleet(8, extraTokens);
	let admitted = 0;
	for (let index = 0; index < 80; index += 1) {
		admitted += await chargeCall(fleet, index % 8) ? callTokens : 0;
	}

	expect(admitted > 0).toEqual(true);
	expect(admitted <= extraTokens / 2).toEqual(true);
});

const smallOrganisation = createOrganisation('small', {
	quota: {
		tokensPerSecond: 29_000, burstTokens: 58_000, plainCallTokens: 200, countsTokens: true,
	},
});
const longCallTokens = 9200;
const toleranceTokens = 110_000;

/** Charges long calls at random instances of a large fleet for `seconds`. Resolves to the admitted fraction and tokens. */
async function driveLargeFleet(fleet: ReturnType<typeof createFleet>, callsPerSecond: number, seconds: number) {
	const random = new RandomSource(3);
	const results: boolean[] = [];
	const count = Math.round(callsPerSecond * seconds);
	for (let index = 0; index < count; index += 1) {
		void fleet.lendings[random.pickIndex(fleet.ids.length)]!.charge(smallOrganisation, longCallTokens).then(result => {
			results.push(result);
		});
		await fleet.clock.advance(1000 / callsPerSecond);
	}

	await fleet.clock.advance(1000);
	const admittedCount = results.filter(Boolean).length;
	return {share: admittedCount / count, tokens: admittedCount * longCallTokens};
}

test('guards against refusing long calls within the rate of a small quota in a large fleet', async () => {
	const fleet = createFleet(72, toleranceTokens, smallOrganisation);
	await fleet.clock.advance(10_000);
	const {share: admittedFraction} = await driveLargeFleet(fleet, 2.8, 30);
	expect(admittedFraction >= 0.97).toEqual(true);
});

test('guards against exceeding a quota and its tolerance by a flood of long calls to a large fleet', async () => {
	const fleet = createFleet(72, toleranceTokens, smallOrganisation);
	await fleet.clock.advance(20_000);
	const {tokens: admittedTokens} = await driveLargeFleet(fleet, 40, 8);
	expect(admittedTokens <= (8 * 29_000) + 58_000 + toleranceTokens).toEqual(true);
	expect(admittedTokens >= 0.9 * 8 * 29_000).toEqual(true);
});

const windowMs = 8000;
const toleranceRatio = 0.1;

/** Measures the most tokens that were admitted in a window. */
function measureLargestWindow(charges: ReadonlyArray<readonly [at: number, tokens: number]>): number {
	const sums = charges.map(([end]) => charges.filter(([at]) => at > end - windowMs && at <= end).reduce((sum, [, tokens]) => sum + tokens, 0));
	return Math.max(...sums);
}

test('guards against long calls at all instances at one moment that exceed a quota together', async () => {
	const callRate = createOrganisation('steady', {
		quota: {
			tokensPerSecond: 29_000, burstTokens: 29_000, plainCallTokens: 200, countsTokens: true,
		},
	});
	const quotaTokens = ((windowMs / 1000) * 29_000) + 29_000;
	const permittedTokens = (quotaTokens * (1 + toleranceRatio)) + toleranceTokens;
	for (const [count, longTokens] of [[8, 24_500], [8, 57_000], [12, 57_000], [72, 57_000]] as const) {
		const fleet = createFleet(count, toleranceTokens, callRate, toleranceRatio);
		const charges: Array<readonly [number, number]> = [];
		const charge = async (instance: number, tokens: number) => {
			if (await fleet.lendings[instance]!.charge(callRate, tokens)) {
				charges.push([fleet.clock.readMonotonic(), tokens]);
			}
		};

		await fleet.clock.advance(12_000);
		for (let group = 0; group < 4; group += 1) {
			for (let call = 0; call < 166; call += 1) {
				void charge(call % count, 1450);
				await fleet.clock.advance(50);
			}

			for (const instance of fleet.ids.keys()) {
				void charge(instance, longTokens);
			}

			await fleet.clock.advance(1000);
		}

		expect(measureLargestWindow(charges) <= permittedTokens).toEqual(true);
		expect(charges.length >= 4 * 166).toEqual(true);
	}
});
