import type {AddressInfo} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {request} from 'undici';
import {startJsonServer} from './index.js';

test('answers by the URL, and with status 500 when the handler fails', async () => {
	const server = await startJsonServer('127.0.0.1:0', url => {
		if (url.pathname === '/fail') {
			throw new Error('no answer');
		}

		return {status: 200, body: {zone: url.searchParams.get('zone')}};
	});
	const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
	const good = await request(`${origin}/where?zone=a`);
	expect(await good.body.json()).toEqual({zone: 'a'});
	const failed = await request(`${origin}/fail`);
	await failed.body.dump();
	expect(failed.statusCode).toEqual(500);
	server.closeAllConnections();
	server.close();
});
