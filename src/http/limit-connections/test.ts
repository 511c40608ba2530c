import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {listenLocally} from '../listen-locally/index.js';
import {parseAddress} from '../parse-address/index.js';
import {limitConnections} from './index.js';

const settleMs = 50;

test('guards against silent connections that take all places of a server', async () => {
	const server = createServer((_message, response) => {
		response.end('ok');
	});
	limitConnections(server, 3);
	const {host, port} = parseAddress(await listenLocally(server));
	const open = async (): Promise<Socket> => {
		const socket = connect({host, port});
		socket.on('error', () => undefined);
		await once(socket, 'connect');
		await delay(settleMs);
		return socket;
	};

	const used = await open();
	const silent = [await open(), await open()];
	used.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
	await once(used, 'data');
	const others = [await open(), await open()];
	expect([used, ...silent, ...others].map(socket => socket.closed || socket.readableEnded || socket.destroyed)).toEqual([false, true, true, false, false]);
	for (const socket of [used, ...others]) {
		socket.destroy();
	}

	server.close();
});
