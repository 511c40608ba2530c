import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createMember} from '../../fixtures/create-member/index.js';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {FakeDatagramNetwork} from '../../peers/fake-datagram-network/index.js';
import {createPartKey} from '../part-key/index.js';
import type {QuarantineNews} from '../quarantine-messages/index.js';
import {QuarantineExchange, quarantineMessageType} from './index.js';

const part = createPartKey('model-1', 'a');

/** Creates two instances that hear each other, except for the datagrams that `isLost` chooses. */
function createPair(isLost: () => boolean = () => false) {
	const clock = new ManualClock(1000);
	const network = new FakeDatagramNetwork(isLost);
	const received: QuarantineNews[] = [];
	const warnings: string[] = [];
	const logger = {
		info() {
			// Only warnings are checked.
		},
		warn(event: string) {
			warnings.push(event);
		},
		error(event: string) {
			warnings.push(event);
		},
	};
	const createExchange = (address: string, peer: string) => new QuarantineExchange({
		clock, logger, channel: network.open(address), listPeers: () => [createMember(peer)],
		onNews(news) {
			received.push(news);
		},
	});
	createExchange('b', 'a');
	return {
		clock, network, received, warnings, sender: createExchange('a', 'b'),
	};
}

/** Creates the report of a crash with one prompt. */
function createCrash(sentAt: number) {
	return {
		target: 'e1' as TargetId, startedAt: 1, crashedAt: 1000 as MonotonicMs, prompts: [{parts: [part], sentAt: sentAt as MonotonicMs}],
	};
}

test('guards against a flood of datagrams when many answers break at once: their prompts share messages', async () => {
	const {clock, network, received, sender} = createPair();
	for (let index = 0; index < 20; index += 1) {
		sender.announceCrash(createCrash(900 + index));
	}

	await clock.advance(20);
	expect(received.map(news => news.type === 'crash' ? news.crash.prompts.length : 0)).toEqual([8, 8, 4]);
	await clock.advance(1000);
	expect(network.sent.messages).toEqual(6);
	expect(network.sent.largestBytes < 1400).toEqual(true);
});

test('guards against lost datagrams: a quarantine is sent three times', async () => {
	let datagrams = 0;
	const {clock, received, sender} = createPair(() => {
		datagrams += 1;
		return datagrams < 3;
	});
	const quarantine = {
		key: part, crashes: 4, durationMs: 600_000, endsAt: 601_000 as MonotonicMs,
	};
	sender.announce({type: 'quarantine', notice: {quarantine, decidedAt: 1000 as MonotonicMs}});
	await clock.advance(1100);
	expect(received).toEqual([{type: 'quarantine', notice: {quarantine, decidedAt: 1000 as MonotonicMs}}]);
});

test('guards against a malformed message that throws out of the handler', () => {
	const {network, received, warnings} = createPair();
	const channel = network.open('c');
	for (const body of [undefined, null, 7, 'x', [], {}, {type: 'crash'}, {type: 'clearance', clearances: [[]]}, {type: 'quarantine', part: 5}]) {
		channel.send(['b'], quarantineMessageType, body ?? null);
	}

	expect([received.length, warnings.length]).toEqual([0, 9]);
});
