import {after, test} from 'node:test';
import {expect} from 'earl';
import {sendRawRequest} from '../../fixtures/send-raw-request/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import {PeerClient} from '../peer-client/index.js';
import {rpcPath} from '../peer-link/index.js';
import {PeerServer} from './index.js';

const head = `POST ${rpcPath} HTTP/1.1\r\nhost: a\r\n`;

test('guards against requests above the limits of a body that keep an instance from answering others', async () => {
	const server = new PeerServer('b' as InstanceId, undefined, {bodyBytes: 10_000, heldBodyBytes: 20_000});
	const address = await server.listen('127.0.0.1:0');
	const client = new PeerClient({self: 'a' as InstanceId, findPeerAddress: () => address});
	server.register('echo', async parameters => parameters);
	after(async () => {
		await client.close();
		await server.close();
	});
	const announced = await sendRawRequest(address, `${head}content-length: 20000\r\n\r\n`);
	const sent = await sendRawRequest(address, `${head}transfer-encoding: chunked\r\n\r\n4e20\r\n${'a'.repeat(20_000)}\r\n0\r\n\r\n`);
	for (const response of [announced, sent]) {
		expect([response.head.startsWith('HTTP/1.1 400'), response.body.includes('larger than the limit')]).toEqual([true, true]);
	}

	expect(await client.call('b' as InstanceId, 'echo', {text: 'x'}, 1000)).toEqual({text: 'x'});
});
