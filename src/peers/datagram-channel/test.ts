import {setTimeout as delay} from 'node:timers/promises';
import {createSocket} from 'node:dgram';
import {test} from 'node:test';
import {expect} from 'earl';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {reservePorts} from '../../process/reserve-ports/index.js';
import {DatagramChannel} from './index.js';

test('delivers a message to the handler of its type, and keeps receiving after a malformed datagram', async () => {
	const controller = new AbortController();
	const ports = await reservePorts(2);
	const addresses = ports.map(port => `127.0.0.1:${port}`);
	const [sender, receiver] = addresses.map(() => new DatagramChannel(quietLogger)) as [DatagramChannel, DatagramChannel];
	const received: unknown[] = [];
	receiver.register('loads', body => {
		received.push(body);
	});
	await sender.listen(addresses[0]!, controller.signal);
	await receiver.listen(addresses[1]!, controller.signal);
	const rawSocket = createSocket('udp4');
	rawSocket.send('{', Number(addresses[1]!.split(':')[1]), '127.0.0.1');
	sender.send([addresses[1]!], 'other', 1);
	sender.send([addresses[1]!], 'loads', {calls: 2});
	await delay(100);
	expect(received).toEqual([{calls: 2}]);
	rawSocket.close();
	controller.abort();
});

test('guards against an error in a task that still sends when the channel is closed', async () => {
	const controller = new AbortController();
	const channel = new DatagramChannel(quietLogger);
	await channel.listen('127.0.0.1:0', controller.signal);
	controller.abort();
	channel.send(['127.0.0.1:9'], 'type', {});
});
