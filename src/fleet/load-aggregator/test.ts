import {setMaxListeners} from 'node:events';
import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createMember} from '../../fixtures/create-member/index.js';
import type {DataCentreId, InstanceId, TargetId} from '../../identity/ids/index.js';
import {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {Membership} from '../../membership/membership/index.js';
import {FakeDatagramNetwork} from '../../peers/fake-datagram-network/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {calculateLivenessTimeoutMs, LoadExchange} from '../load-exchange/index.js';
import {PrefixDirectory} from '../prefix-directory/index.js';
import {rankAggregators} from '../rank-aggregators/index.js';
import {TargetFleet} from '../target-fleet/index.js';

const dataCentreCount = 5;
const target = 't1' as TargetId;

/** Creates instances that know each other, over a network that loses a fraction of the datagrams. */
function createFleet(count: number, lossRatio = 0) {
	const clock = new ManualClock();
	const network = new FakeDatagramNetwork();
	const loss = new RandomSource(7);
	const stopped = new Set<string>();
	const members = Array.from({length: count}, (_, index) => createMember(`i${index}`, {
		dataCentre: `dc-${index % dataCentreCount}` as DataCentreId, capacity: index < dataCentreCount * 2 ? 1.35 : 0.324,
	}));
	const instances = members.map((member, index) => {
		const controller = new AbortController();
		setMaxListeners(0, controller.signal);
		const fleet = new TargetFleet(quietLogger);
		fleet.replace([createDescription('t1'), createDescription('t2')], clock.readMonotonic());
		const prefixes = new PrefixDirectory();
		const {state, revision, incarnation, ...identity} = member;
		const random = new RandomSource(index + 1);
		const membership = new Membership({
			identity, seeds: [], clock, random, logger: quietLogger, readRevision: () => revision, calculateLivenessTimeoutMs,
			invariants: new InvariantChecker({isStrict: true}),
			caller: {
				async callAddress() {
					throw new Error('no calls in this test');
				},
			},
			registry: {register() {/* No calls in this test. */}},
		});
		const channel = network.open(member.peerAddress);
		const lossyChannel: typeof channel = {
			register(type, handler) {
				channel.register(type, body => {
					if (!stopped.has(member.id) && loss.pickIndex(1000) >= lossRatio * 1000) {
						handler(structuredClone(body));
					}
				});
			},
			send: channel.send,
		};
		const exchange = new LoadExchange({
			clock, random, fleet, prefixes, membership, channel: lossyChannel,
			readSelf: () => membership.readSelf(),
			listPeers: () => membership.listLive(clock.readMonotonic()).filter(other => other.id !== member.id),
		});
		void exchange.run(controller.signal);
		return {
			member, membership, fleet, prefixes, controller,
		};
	});
	for (const {membership} of instances) {
		for (const other of instances) {
			membership.applyEntry(other.membership.describeSelf(), clock.readMonotonic());
		}
	}

	return {
		clock, instances, sent: network.sent,
		kill(id: InstanceId) {
			stopped.add(id);
			instances.find(({member}) => member.id === id)!.controller.abort();
		},
		stop() {
			for (const {controller} of instances) {
				controller.abort();
			}
		},
	};
}

test('guards against traffic that grows with the square of the fleet: each instance sends and receives a few datagrams a second', async () => {
	const {clock, sent, stop} = createFleet(195);
	await clock.advance(5000);
	expect(sent.datagrams / 195 / 5 < 16).toEqual(true);
	expect(sent.largestBytes < 16_000).toEqual(true);
	stop();
});

test('guards against placing calls by outdated loads: work is known everywhere within a second, once each', async () => {
	const {clock, instances, stop} = createFleet(77);
	await clock.advance(2000);
	for (const {fleet} of instances) {
		fleet.locate(target)!.beginCall(1000, clock.readMonotonic(), 100);
	}

	await clock.advance(1000);
	const now = clock.readMonotonic();
	for (const {fleet} of instances) {
		expect(fleet.locate(target)!.measureMemory(now)).toEqual(77 * 100);
	}

	for (const {fleet} of instances) {
		const loaded = fleet.locate(target)!;
		for (const call of loaded.calls) {
			loaded.endCall(call);
		}
	}

	await clock.advance(1200);
	for (const {fleet} of instances) {
		expect(fleet.locate(target)!.measureMemory(clock.readMonotonic())).toEqual(0);
	}

	stop();
});

test('guards against prefix uses that do not reach every instance', async () => {
	const {clock, instances, stop} = createFleet(77);
	await clock.advance(1000);
	for (const [index, {prefixes}] of instances.entries()) {
		prefixes.recordOwnUse(`p${index}`, target, clock.readMonotonic());
		await clock.advance(20);
	}

	await clock.advance(1000);
	for (const {prefixes} of instances) {
		expect(instances.every((_, index) => prefixes.listHolders(`p${index}`, clock.readMonotonic()).length === 1)).toEqual(true);
	}

	stop();
});

test('guards against treating live instances as dead while a twentieth of the datagrams is lost', async () => {
	const {clock, instances, stop} = createFleet(195, 0.05);
	for (let second = 0; second < 20; second += 1) {
		await clock.advance(1000);
		for (const {membership} of instances) {
			expect(membership.listLive(clock.readMonotonic()).length).toEqual(195);
		}
	}

	stop();
});

test('guards against a data centre without knowledge of loads after its aggregator crashed', async () => {
	const {clock, instances, kill, stop} = createFleet(77);
	await clock.advance(2000);
	const dataCentre = 'dc-2' as DataCentreId;
	const aggregator = rankAggregators(instances.map(({member}) => member), dataCentre)[0]!;
	expect(aggregator.capacity).toEqual(1.35);
	kill(aggregator.id);
	await clock.advance(1500);
	const [worker, ...others] = instances.filter(({member}) => member.id !== aggregator.id);
	worker!.fleet.locate(target)!.beginCall(1000, clock.readMonotonic(), 100);
	await clock.advance(1000);
	for (const {fleet} of others) {
		expect(fleet.locate(target)!.measureMemory(clock.readMonotonic())).toEqual(100);
	}

	await clock.advance(3500);
	expect(worker!.membership.listLive(clock.readMonotonic()).some(member => member.id === aggregator.id)).toEqual(false);
	stop();
});
