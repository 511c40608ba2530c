import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {listenLocally} from '../../http/listen-locally/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {FaultyProxy, type ProxyMode} from './index.js';

/** A server behind a proxy that answers each text with itself, and a connection to it. */
async function createConnection(mode: ProxyMode) {
	const received: string[] = [];
	const server = createServer(socket => {
		socket.on('error', () => {
			// Resets are part of the test.
		});
		socket.on('data', (data: Buffer) => {
			received.push(data.toString());
			socket.write(data);
		});
	});
	const proxy = new FaultyProxy(await listenLocally(server));
	const client: Socket = connect(parseAddress(await proxy.listen()).port, '127.0.0.1');
	const answers: string[] = [];
	const faults: string[] = [];
	client.on('data', (data: Buffer) => {
		answers.push(data.toString());
	});
	client.on('error', error => {
		faults.push((error as NodeJS.ErrnoException).code ?? '');
	});
	await once(client, 'connect');
	await delay(20);
	proxy.setMode(mode);
	client.write('a');
	await delay(60);
	const seen = {received: [...received], answers: [...answers], faults: [...faults]};
	await delay(300);
	const later = {received: [...received], answers: [...answers], faults: [...faults]};
	client.destroy();
	proxy.close();
	server.close();
	return {seen, later};
}

test('guards against faults that do not happen: each mode does to the bytes what it says', async () => {
	const {seen: passed} = await createConnection('pass');
	expect(passed).toEqual({received: ['a'], answers: ['a'], faults: []});
	const {later: deaf} = await createConnection('deaf');
	expect(deaf).toEqual({received: ['a'], answers: [], faults: []});
	const {later: silent} = await createConnection('silent');
	expect(silent).toEqual({received: [], answers: [], faults: []});
	const {later: reset} = await createConnection('reset');
	expect(reset).toEqual({received: [], answers: [], faults: ['ECONNRESET']});
	const {seen, later} = await createConnection('delay');
	expect([seen.answers, later.answers]).toEqual([[], ['a']]);
});
