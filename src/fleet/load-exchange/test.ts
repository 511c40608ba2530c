import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {SystemClock} from '../../clock/clock/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import type {InstanceId, MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import {reservePorts} from '../../process/reserve-ports/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {PrefixDirectory} from '../prefix-directory/index.js';
import {TargetFleet} from '../target-fleet/index.js';
import {LoadExchange} from './index.js';

test('tells others the work at each target and the prefixes used there', async () => {
	const clock = new SystemClock();
	const controller = new AbortController();
	const ports = await reservePorts(2);
	const members = ports.map((port, index) => ({id: `i${index}`, peerAddress: `127.0.0.1:${port}`}) as unknown as Member);
	const instances = members.map((member, index) => {
		const fleet = new TargetFleet(quietLogger);
		fleet.replace([createDescription('t')]);
		const prefixes = new PrefixDirectory();
		const exchange = new LoadExchange({
			self: member.id, clock, random: new RandomSource(index + 1), fleet, prefixes, logger: quietLogger,
			listPeers: () => members.filter(other => other !== member),
		});
		return {fleet, prefixes, exchange};
	});
	await Promise.all(instances.map(async ({exchange}, index) => exchange.start(members[index]!.peerAddress, controller.signal)));
	const [sender, receiver] = instances as [typeof instances[0], typeof instances[0]];
	const call = sender.fleet.locate('t' as TargetId)!.beginCall(5000, clock.readMonotonic());
	sender.prefixes.noteOwnUse('p', 't' as TargetId, clock.readMonotonic());
	await delay(400);
	const target = receiver.fleet.locate('t' as TargetId)!;
	expect(target.measureLoad(clock.readMonotonic()) >= 5000).toEqual(true);
	expect(receiver.prefixes.listHolders('p', clock.readMonotonic())).toEqual(['t' as TargetId]);
	sender.fleet.locate('t' as TargetId)!.endCall(call);
	await delay(400);
	expect(target.measureLoad(clock.readMonotonic())).toEqual(0);
	controller.abort();
});
