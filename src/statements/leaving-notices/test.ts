import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createMember} from '../../fixtures/create-member/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {TargetId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {FakeDatagramNetwork} from '../../peers/fake-datagram-network/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {LeavingNotices, leavingMessageType} from './index.js';

const targetId = 't1' as TargetId;
const lossSteps = 100;
const lostOf100 = 20;

/** Creates instances that know one target; `isLossy`: each fifth datagram is lost. */
function createInstances(count: number, isLossy = false) {
	const clock = new ManualClock();
	const random = new RandomSource(1);
	const network = new FakeDatagramNetwork(() => isLossy && random.pickIndex(lossSteps) < lostOf100);
	const members = Array.from({length: count}, (_, index) => createMember(`i${index}`));
	const instances = members.map(({id, peerAddress}) => {
		const fleet = new TargetFleet(quietLogger);
		fleet.replace([createDescription(targetId)], clock.readMonotonic());
		const channel = network.open(peerAddress);
		const notices = new LeavingNotices({
			clock, logger: quietLogger, fleet, channel, listPeers: () => members.filter(member => member.id !== id),
		});
		return {notices, channel, target: fleet.locate(targetId)!};
	});
	return {clock, network, instances};
}

test('guards against instances that go on sending to a target of which another one knows that it is leaving', async () => {
	for (const count of [2, 9, 77, 195]) {
		const {clock, network, instances} = createInstances(count);
		instances[0]!.target.recordLeaving();
		instances[0]!.notices.announce(instances[0]!.target);
		await clock.advance(1000);
		expect(instances.every(({target}) => target.isLeaving)).toEqual(true);
		expect(network.sent.datagrams <= 3 * (count - 1)).toEqual(true);
	}
});

test('guards against lost notices', async () => {
	const {clock, instances} = createInstances(9, true);
	instances[0]!.target.recordLeaving();
	instances[0]!.notices.announce(instances[0]!.target);
	await clock.advance(1000);
	expect(instances.every(({target}) => target.isLeaving)).toEqual(true);
});

test('guards against a flood of notices when all instances see the statement at the same moment', async () => {
	const count = 77;
	const {clock, network, instances} = createInstances(count);
	for (const {notices, target} of instances) {
		target.recordLeaving();
		notices.announce(target);
	}

	await clock.advance(1000);
	expect(network.sent.datagrams).toEqual(count * (count - 1));
});

test('guards against malformed notices, and those of a target before its restart', () => {
	const {instances: [first, second]} = createInstances(2);
	for (const body of [null, {}, {target: targetId}, {target: 7, startedAt: 1}, {target: targetId, startedAt: 99}, {target: 'unknown', startedAt: 1}]) {
		first!.channel.send([createMember('i1').peerAddress], leavingMessageType, body);
	}

	expect(second!.target.isLeaving).toEqual(false);
});
