import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {listenLocally} from '../../http/listen-locally/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {FaultyProxy, type ProxyMode} from './index.js';

/** Sends one byte to an echo server through a proxy in `mode`; returns what both sides have seen before and after a delayed answer is due. */
async function observeConnection(mode: ProxyMode) {
	const received: string[] = [];
	const server = createServer(socket => {
		socket.on('error', () => {
			// The proxy resets connections on purpose.
		});
		socket.on('data', (data: Buffer) => {
			received.push(data.toString());
			socket.write(data);
		});
	});
	const proxy = new FaultyProxy(await listenLocally(server));
	const client: Socket = connect(parseAddress(await proxy.listen()).port, '127.0.0.1');
	const answers: string[] = [];
	const errorCodes: string[] = [];
	client.on('data', (data: Buffer) => {
		answers.push(data.toString());
	});
	client.on('error', error => {
		errorCodes.push((error as NodeJS.ErrnoException).code ?? '');
	});
	await once(client, 'connect');
	await delay(20);
	proxy.setMode(mode);
	client.write('a');
	await delay(60);
	const early = {received: [...received], answers: [...answers], errorCodes: [...errorCodes]};
	await delay(300);
	const late = {received: [...received], answers: [...answers], errorCodes: [...errorCodes]};
	proxy.setMode('pass');
	client.write('b');
	await delay(60);
	const afterwards = {received: [...received], answers: [...answers]};
	client.destroy();
	proxy.close();
	server.close();
	return {early, late, afterwards};
}

test('guards against a proxy whose modes do not have the described effect on bytes and connections', async () => {
	const {early: passed} = await observeConnection('pass');
	expect(passed).toEqual({received: ['a'], answers: ['a'], errorCodes: []});
	const {late: deaf} = await observeConnection('deaf');
	expect(deaf).toEqual({received: ['a'], answers: [], errorCodes: []});
	const {late: silent} = await observeConnection('silent');
	expect(silent).toEqual({received: [], answers: [], errorCodes: []});
	const {late: reset} = await observeConnection('reset');
	expect(reset).toEqual({received: [], answers: [], errorCodes: ['ECONNRESET']});
	const {early, late} = await observeConnection('delay');
	expect([early.answers, late.answers]).toEqual([[], ['a']]);
});

test('guards against streams with a gap, which TCP never delivers: a connection that has lost bytes carries none afterwards', async () => {
	const {afterwards: deaf} = await observeConnection('deaf');
	expect(deaf).toEqual({received: ['a', 'b'], answers: []});
	const {afterwards: silent} = await observeConnection('silent');
	expect(silent).toEqual({received: [], answers: []});
});
