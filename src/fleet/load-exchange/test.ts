import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {SystemClock} from '../../clock/clock/index.js';
import {SharedBacklog, type WaitingEntry} from '../../admission/shared-backlog/index.js';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createMembershipHeartbeats} from '../../fixtures/create-membership-heartbeats/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createMember} from '../../fixtures/create-member/index.js';
import type {DataCentreId, TargetId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {DatagramChannel} from '../../peers/datagram-channel/index.js';
import {FakeDatagramNetwork} from '../../peers/fake-datagram-network/index.js';
import {reservePorts} from '../../process/reserve-ports/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {PrefixDirectory} from '../prefix-directory/index.js';
import {TargetFleet} from '../target-fleet/index.js';
import {calculateLivenessTimeoutMs, LoadExchange} from './index.js';

test('reports the work at each target and the prefixes used there to other instances', async () => {
	const clock = new SystemClock();
	const controller = new AbortController();
	const ports = await reservePorts(2);
	const members = ports.map((port, index) => createMember(`i${index}`, {peerAddress: `127.0.0.1:${port}`}));
	const instances = members.map((member, index) => {
		const fleet = new TargetFleet(quietLogger);
		fleet.replace([createDescription('t')], clock.readMonotonic());
		const prefixes = new PrefixDirectory();
		const channel = new DatagramChannel(quietLogger);
		const exchange = new LoadExchange({
			membership: createMembershipHeartbeats(member.id), clock, random: new RandomSource(index + 1), fleet, prefixes, channel,
			readSelf: () => member,
			listPeers: () => members.filter(other => other !== member),
		});
		return {
			fleet, prefixes, channel, exchange,
		};
	});
	await Promise.all(instances.map(async ({channel}, index) => channel.listen(members[index]!.peerAddress, controller.signal)));
	for (const {exchange} of instances) {
		void exchange.run(controller.signal);
	}

	const [sender, receiver] = instances as [typeof instances[0], typeof instances[0]];
	const call = sender.fleet.locate('t' as TargetId)!.beginCall(5000, clock.readMonotonic());
	sender.prefixes.recordOwnUse('p', 't' as TargetId, clock.readMonotonic());
	await delay(400);
	const target = receiver.fleet.locate('t' as TargetId)!;
	expect(target.measureLoad(clock.readMonotonic()) >= 5000).toEqual(true);
	expect(receiver.prefixes.listHolders('p', clock.readMonotonic())).toEqual(['t' as TargetId]);
	sender.fleet.locate('t' as TargetId)!.endCall(call);
	await delay(400);
	expect(target.measureLoad(clock.readMonotonic())).toEqual(0);
	controller.abort();
});

const dataCentreCount = 3;

/** Creates instances that exchange loads over a fake network, which loses datagrams while `isLost` says so. */
function createExchangingInstances(count: number, {isLost = (): boolean => false, targets = 98, sharesPaces = false} = {}) {
	const clock = new ManualClock();
	const controller = new AbortController();
	const members = Array.from({length: count}, (_, index) => createMember(`i${index}`, {dataCentre: `dc-${index % dataCentreCount}` as DataCentreId}));
	const network = new FakeDatagramNetwork(isLost);
	const instances = members.map((member, index) => {
		const fleet = new TargetFleet(quietLogger);
		fleet.replace(Array.from({length: targets}, (_item, number) => createDescription(`i-${number}c37c357a`)), clock.readMonotonic());
		const prefixes = new PrefixDirectory();
		const membership = createMembershipHeartbeats(member.id);
		const waiting: WaitingEntry[] = [];
		const backlog = new SharedBacklog(() => waiting);
		const exchange = new LoadExchange({
			membership, clock, random: new RandomSource(index + 1), fleet, prefixes, backlog,
			channel: network.open(member.peerAddress),
			readSelf: () => member,
			listPeers: () => members.filter(other => other !== member),
			sharesPaces: () => sharesPaces,
		});
		void exchange.run(controller.signal);
		return {
			fleet, prefixes, membership, waiting, backlog,
		};
	});
	return {
		clock, instances, sent: network.sent,
		stop() {
			controller.abort();
		},
	};
}

test('guards against prefix uses that do not reach every instance of a large fleet', async () => {
	const {clock, instances, sent, stop} = createExchangingInstances(72);
	await clock.advance(600);
	for (const [index, {prefixes}] of instances.entries()) {
		prefixes.recordOwnUse(`p${index}`, 'i-1c37c357a' as TargetId, clock.readMonotonic());
	}

	await clock.advance(1200);
	for (const {prefixes} of instances) {
		expect(instances.every((_, index) => prefixes.listHolders(`p${index}`, clock.readMonotonic()).length === 1)).toEqual(true);
	}

	expect(sent.datagrams <= 72 * 3 * 10).toEqual(true);
	stop();
});

test('guards against datagrams that exceed one packet: only the targets that take the most memory are reported', async () => {
	const {clock, instances, sent, stop} = createExchangingInstances(3);
	const [sender, receiver] = instances;
	for (const [index, target] of [...sender!.fleet.list()].entries()) {
		target.beginCall(1000, clock.readMonotonic(), 100 + index);
		sender!.prefixes.recordOwnUse(`fizi14|${'0'.repeat(16)}${index}`, target.description.id, clock.readMonotonic());
	}

	await clock.advance(300);
	expect(sent.largestBytes < 1400).toEqual(true);
	expect(receiver!.fleet.locate('i-97c37c357a' as TargetId)!.measureMemory(clock.readMonotonic())).toEqual(197);
	stop();
});

const busyInstances = 24;
const busyTargets = 200;
/** Targets at which one instance works. */
const targetsPerInstance = 50;

/** Lets each instance of a large fleet work at some targets for 3 s, so that all have the same load; returns what was sent, and the instances. */
async function exchangeBusyLoads(sharesPaces: boolean) {
	const {clock, instances, sent, stop} = createExchangingInstances(busyInstances, {targets: busyTargets, sharesPaces});
	for (const [index, {fleet}] of instances.entries()) {
		const targets = [...fleet.list()];
		for (let count = 0; count < targetsPerInstance; count += 1) {
			targets[((index * targetsPerInstance) + count) % busyTargets]!.beginCall(1000, clock.readMonotonic(), 9000);
		}
	}

	for (let round = 0; round < 15; round += 1) {
		await clock.advance(200);
		for (const [index, {fleet}] of instances.entries()) {
			const target = fleet.locate(`i-${index}c37c357a` as TargetId)!;
			target.speed.recordOwn({workTokens: 6000, ms: index === 0 ? 400 : 100}, clock.readMonotonic());
		}
	}

	// Each instance sends once more when it is stopped.
	const sentBefore = {...sent};
	stop();
	return {sent: sentBefore, instances, now: clock.readMonotonic()};
}

test('guards against larger or more messages for the speeds of targets, which all instances learn from the calls of each', async () => {
	const without = await exchangeBusyLoads(false);
	const {sent, instances, now} = await exchangeBusyLoads(true);
	expect(sent.largestBytes <= without.sent.largestBytes).toEqual(true);
	expect(sent.datagrams).toEqual(without.sent.datagrams);
	for (const {fleet} of instances) {
		expect(fleet.locate('i-0c37c357a' as TargetId)!.speed.read(now) < 0.8).toEqual(true);
	}
});

test('guards against a herd at targets that full sums have no room for: they do not count as idle', async () => {
	const {instances, now} = await exchangeBusyLoads(true);
	const meanMemoryTokens = 9000 * busyInstances * targetsPerInstance / busyTargets;
	const idlest = Math.min(...instances.flatMap(({fleet}) => [...fleet.list()].map(target => target.estimateMemory(now))));
	expect(idlest >= meanMemoryTokens / 4).toEqual(true);
});

test('guards against treating an idle instance as dead', async () => {
	const {clock, instances, stop} = createExchangingInstances(9);
	await clock.advance(2000);
	for (const {membership} of instances) {
		expect(new Set(membership.received).size).toEqual(8);
		expect(membership.received.length >= 8 * 4).toEqual(true);
	}

	stop();
});

test('guards against a liveness timeout that grows with the fleet, so that callers are sent to dead instances for many seconds', () => {
	expect(calculateLivenessTimeoutMs(8)).toEqual(2000);
	expect(calculateLivenessTimeoutMs(195)).toEqual(calculateLivenessTimeoutMs(72));
	expect(calculateLivenessTimeoutMs(350) < 5000).toEqual(true);
});

const urgentCall: WaitingEntry = ['service-1' as ServiceId, 0, 2, 500];

for (const count of [3, 72]) {
	test(`guards against urgent calls of which other instances don't know, and against a backlog that outlives its calls (${count} instances)`, async () => {
		let isLost = false;
		const {clock, instances, stop} = createExchangingInstances(count, {isLost: () => isLost});
		const countInformed = () => instances.filter(({backlog}) =>
			backlog.hasMoreUrgent('service-1' as ServiceId, {priority: 1, needs: {memoryTokens: 1000}}, clock.readMonotonic())).length;
		await clock.advance(2000);
		instances[1]!.waiting.push(urgentCall);
		await clock.advance(1000);
		expect(countInformed()).toEqual(count - 1);
		instances[1]!.waiting.pop();
		await clock.advance(1500);
		expect(countInformed()).toEqual(0);
		instances[1]!.waiting.push(urgentCall);
		await clock.advance(1000);
		isLost = true;
		await clock.advance(2500);
		expect(countInformed()).toEqual(0);
		stop();
	});
}

test('guards against calls of several instances that count twice, or once more at the instance where they wait', async () => {
	const {clock, instances, stop} = createExchangingInstances(72);
	await clock.advance(2000);
	for (const {waiting} of instances) {
		waiting.push(urgentCall);
	}

	await clock.advance(3000);
	for (const {backlog} of instances) {
		expect(backlog.sumAll(clock.readMonotonic())).toEqual([['service-1' as ServiceId, 0, 144, 500]]);
	}

	stop();
});

test('guards against larger messages while no call waits', async () => {
	const {clock, instances, sent, stop} = createExchangingInstances(3);
	await clock.advance(1000);
	const {largestBytes} = sent;
	instances[0]!.waiting.push(urgentCall);
	await clock.advance(500);
	expect([largestBytes < sent.largestBytes, sent.largestBytes - largestBytes < 60]).toEqual([true, true]);
	stop();
});
