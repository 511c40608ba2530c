import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createMember} from '../../fixtures/create-member/index.js';
import type {InstanceId, Revision} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {FakeDatagramNetwork} from '../../peers/fake-datagram-network/index.js';
import {PeerAvailability, reachabilityMessageType} from './index.js';

function createFleet(count: number) {
	const clock = new ManualClock();
	const datagrams = new FakeDatagramNetwork();
	const members = Array.from({length: count}, (_, index) => createMember(`i${index}`));
	const cutOff = new Set<string>();
	const controller = new AbortController();
	const peers = members.map(({id}) => {
		const availability = new PeerAvailability({
			self: id, clock, logger: quietLogger, channel: datagrams.open(id),
			listPeers: () => members.filter(member => member.id !== id), isCutOff: () => cutOff.has(id),
		});
		void availability.run(controller.signal);
		return availability;
	});
	return {
		clock, members, cutOff, peers, datagrams,
	};
}

test('guards against calls that are passed to instances which are cut off themselves', async () => {
	const {clock, cutOff, peers} = createFleet(4);
	cutOff.add('i1');
	peers[1]!.announce();
	expect(peers[0]!.list().map(({id}) => String(id))).toEqual(['i2', 'i3']);
	await clock.advance(20_000);
	expect([peers[0]!.list().length, peers[0]!.cutOffCount]).toEqual([2, 1]);
	cutOff.delete('i1');
	peers[1]!.announce();
	expect(peers[0]!.list().length).toEqual(3);
});

test('guards against an instance that counts as cut off for ever because it ended before it said otherwise', async () => {
	const {clock, cutOff, peers} = createFleet(3);
	cutOff.add('i1');
	peers[1]!.announce();
	cutOff.delete('i1');
	await clock.advance(1000);
	peers[0]!.recordCutOff('i2' as InstanceId);
	expect(peers[0]!.list().length).toEqual(1);
	await clock.advance(5000);
	expect(peers[0]!.list().length).toEqual(2);
});

test('guards against calls that are passed to instances which leave or have no configuration', () => {
	const {members, peers} = createFleet(4);
	members[1] = createMember('i1', {state: 'leaving'});
	members[2] = createMember('i2', {revision: -1 as Revision});
	expect(peers[0]!.list().map(({id}) => String(id))).toEqual(['i3']);
});

test('guards against a malformed message that ends the instance', () => {
	const {datagrams, peers} = createFleet(2);
	const stranger = datagrams.open('x');
	for (const body of [null, 5, {}, {instance: 5, isCutOff: true}, {instance: 'i1', isCutOff: 'yes'}, {instance: '', isCutOff: true}]) {
		stranger.send(['i0'], reachabilityMessageType, body);
	}

	expect(peers[0]!.list().length).toEqual(1);
});
