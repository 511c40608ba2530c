import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createMember} from '../../fixtures/create-member/index.js';
import {startGatewayFeeds} from '../../fixtures/start-gateway-feeds/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {InstanceId, MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {FakeDatagramNetwork} from '../../peers/fake-datagram-network/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {readStatementsMethod} from '../../statements/statement-catch-up/index.js';
import {createStatements} from './index.js';

const targetId = 'a' as TargetId;

/** Starts gateways that have read the entry of one target and exchange statements of targets. */
async function startGateways(count: number) {
	const {clock, objectApi, instances} = startGatewayFeeds(count);
	const network = new FakeDatagramNetwork();
	const members = instances.map(({id}) => createMember(id));
	const gateways = instances.map(({id, fleet, endpoint, stop}) => ({
		fleet, stop, ...createStatements({
			self: id, clock, logger: quietLogger, fleet, channel: network.open(id), listLive: () => members,
			caller: endpoint, registry: endpoint, random: new RandomSource(1),
		}),
	}));
	await objectApi.create('targets', targetId, 1);
	await clock.advance(2500);
	return {
		clock, objectApi, network, peerNetwork: instances[0]!.network, members, gateways,
	};
}

type Gateways = Awaited<ReturnType<typeof startGateways>>;

/** Starts one more gateway, which the others know at once; its list has the target. */
function startLaterGateway({clock, network, peerNetwork, members}: Gateways) {
	const id = 'later' as InstanceId;
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription(targetId)], clock.readMonotonic());
	const endpoint = peerNetwork.open(id);
	const statements = createStatements({
		self: id, clock, logger: quietLogger, fleet, channel: network.open(id), listLive: () => [...members, createMember(id)],
		caller: endpoint, registry: endpoint, random: new RandomSource(2),
	});
	const controller = new AbortController();
	void statements.catchUp.run(controller.signal);
	return {
		fleet, stop() {
			controller.abort();
		},
	};
}

test('guards against calls to a target that said that it leaves and removed its entry, when the object API comes back with the entry', async () => {
	for (const count of [3, 20]) {
		const {clock, objectApi, gateways} = await startGateways(count);
		const copy = objectApi.copy();
		const target = gateways[0]!.fleet.locate(targetId)!;
		target.recordLeaving();
		gateways[0]!.leavingNotices.announce(target);
		await clock.advance(1000);
		await objectApi.remove('targets', targetId);
		await clock.advance(1500);
		expect(gateways.map(({fleet}) => fleet.locate(targetId))).toEqual(gateways.map(() => undefined));
		objectApi.restore(copy);
		await clock.advance(1500);
		expect(gateways.map(({fleet}) => fleet.locate(targetId)?.isLeaving)).toEqual(gateways.map(() => true));
		for (const {stop} of gateways) {
			stop();
		}
	}
});

test('guards against a limit and a pause that end when the entry of their target goes and comes back with an older copy', async () => {
	const {clock, objectApi, gateways} = await startGateways(3);
	const copy = objectApi.copy();
	const target = gateways[0]!.fleet.locate(targetId)!;
	const now = clock.readMonotonic();
	target.limit.recordStated(2, now);
	gateways[0]!.limits.announce(target);
	target.pause.recordStated(now + 60_000 as MonotonicMs, now);
	await clock.advance(1000);
	await objectApi.remove('targets', targetId);
	await clock.advance(1500);
	objectApi.restore(copy);
	await clock.advance(1500);
	expect(gateways.map(({fleet}) => fleet.locate(targetId)?.limit.read())).toEqual([2, 2, 2]);
	expect(gateways.map(({fleet}) => fleet.locate(targetId)?.isPaused(clock.readMonotonic()))).toEqual([true, false, false]);
	for (const {stop} of gateways) {
		stop();
	}
});

test('guards against a notice or a limit that is lost at an instance whose list has no entry of the target at that moment', async () => {
	const {clock, gateways: [first, second, third]} = await startGateways(3);
	const target = first!.fleet.locate(targetId)!;
	second!.fleet.replace([], clock.readMonotonic());
	target.recordLeaving();
	first!.leavingNotices.announce(target);
	target.limit.recordStated(2, clock.readMonotonic());
	first!.limits.announce(target);
	await clock.advance(1000);
	second!.fleet.replace([createDescription(targetId)], clock.readMonotonic());
	const found = second!.fleet.locate(targetId)!;
	expect([found.isLeaving, found.limit.read()]).toEqual([true, 2]);
	for (const {stop} of [first!, second!, third!]) {
		stop();
	}
});

test('guards against an instance that starts after a target has stated that it leaves, or a limit, and knows nothing of it', async () => {
	const running = await startGateways(20);
	const {clock, gateways, peerNetwork} = running;
	const target = gateways[0]!.fleet.locate(targetId)!;
	const {statements} = target;
	target.recordLeaving();
	gateways[0]!.leavingNotices.announce(target);
	statements.limit.recordStated(2, clock.readMonotonic());
	gateways[0]!.limits.announce(target);
	await clock.advance(1000);
	for (const {fleet} of gateways) {
		fleet.replace([], clock.readMonotonic());
	}

	const later = startLaterGateway(running);
	await clock.advance(100);
	const found = later.fleet.locate(targetId)!;
	expect([found.isLeaving, found.limit.read()]).toEqual([true, 2]);
	await clock.advance(60_000);
	expect(peerNetwork.calls.get(readStatementsMethod)).toEqual(3);
	for (const {stop} of [...gateways, later]) {
		stop();
	}
});

test('guards against a leaving target that is served again because its entry was retained in an interruption of the object API', async () => {
	const {clock, objectApi, gateways} = await startGateways(3);
	const copy = objectApi.copy();
	objectApi.setDown(true);
	await clock.advance(3000);
	const target = gateways[0]!.fleet.locate(targetId)!;
	target.recordLeaving();
	gateways[0]!.leavingNotices.announce(target);
	objectApi.faults.isDown = false;
	await objectApi.remove('targets', targetId);
	await clock.advance(1500);
	expect(gateways.map(({fleet}) => fleet.locate(targetId)?.isLeaving)).toEqual([true, true, true]);
	await clock.advance(4000);
	expect(gateways.map(({fleet}) => fleet.locate(targetId))).toEqual([undefined, undefined, undefined]);
	objectApi.restore(copy);
	await clock.advance(1500);
	expect(gateways.map(({fleet}) => fleet.locate(targetId)?.isLeaving)).toEqual([true, true, true]);
	for (const {stop} of gateways) {
		stop();
	}
});
