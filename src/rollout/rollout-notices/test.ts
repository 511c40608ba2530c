import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createDescription, testModel} from '../../fixtures/create-fleet-target/index.js';
import type {TargetId} from '../../identity/ids/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import {FakeDatagramNetwork} from '../../peers/fake-datagram-network/index.js';
import {RolloutNotices} from './index.js';

const engineCount = 39;
const createId = (index: number) => `i-${index}c37c357a` as TargetId;

/** Creates the instance that sends notices and one of the peers that receive them. */
function createPair(peerCount: number) {
	const clock = new ManualClock();
	const peers = Array.from({length: peerCount}, (_, index) => ({id: `p${index}`, peerAddress: `p${index}:1`}) as unknown as Member);
	const network = new FakeDatagramNetwork();
	const createNotices = (address: string) => {
		const fleet = new TargetFleet(quietLogger);
		fleet.replace(Array.from({length: engineCount}, (_, index) => createDescription(createId(index))), clock.readMonotonic());
		const notices = new RolloutNotices({
			clock, fleet, channel: network.open(address), listPeers: () => peers,
		});
		return {fleet, notices};
	};

	return {
		clock, sent: network.sent, sender: createNotices('sender:1'), receiver: createNotices('p0:1'),
	};
}

test('cordons an engine that is about to load at other instances, and updates its version there', async () => {
	const {clock, sender, receiver} = createPair(1);
	sender.notices.announce({
		target: createId(0), cordonMs: 500, model: testModel, version: 3,
	});
	await clock.advance(30);
	const target = receiver.fleet.locate(createId(0))!;
	expect(target.isCordoned(clock.readMonotonic())).toEqual(true);
	expect(target.readVersion(testModel)).toEqual(3);
	await clock.advance(600);
	expect(target.isCordoned(clock.readMonotonic())).toEqual(false);
});

test('guards against a lease holder that runs out of memory when many engines change at once: notices are sent in batches', async () => {
	const {clock, sent, sender, receiver} = createPair(71);
	for (let index = 0; index < engineCount; index += 1) {
		sender.notices.announce({
			target: createId(index), cordonMs: 500, model: testModel, version: 1,
		});
	}

	await clock.advance(30);
	expect(sent.messages).toEqual(2);
	expect(sent.largestBytes < 1400).toEqual(true);
	expect([...receiver.fleet.list()].every(target => target.isCordoned(clock.readMonotonic()))).toEqual(true);
});
