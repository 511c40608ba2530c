import {after, describe, test} from 'node:test';
import {expect} from 'earl';
import type {InstanceId} from '../../identity/ids/index.js';
import {FaultyProxy} from '../../standin/faulty-proxy/index.js';
import {PeerServer} from '../peer-server/index.js';
import {PeerClient} from './index.js';

const callee = 'b' as InstanceId;
const generousMs = 2000;

async function createPair() {
	const server = new PeerServer(callee);
	const proxy = new FaultyProxy(await server.listen('127.0.0.1:0'));
	const address = await proxy.listen();
	const client = new PeerClient({self: 'a' as InstanceId, locate: peer => peer === 'unknown' ? undefined : address});
	server.register('echo', async (parameters, from) => ({parameters, from}));
	server.register('fail', async () => {
		throw new Error('the reason');
	});
	after(async () => {
		await client.close();
		proxy.close();
		await server.close();
	});
	return {client, proxy};
}

describe('PeerClient', () => {
	test('calls a method and tells the callee who called', async () => {
		const {client} = await createPair();
		expect(await client.call(callee, 'echo', {x: 1}, generousMs)).toEqual({parameters: {x: 1}, from: 'a'});
	});

	test('guards against calls that reach a successor at the address of another instance', async () => {
		const {client} = await createPair();
		await expect(client.call('c' as InstanceId, 'echo', {}, generousMs)).toBeRejected();
		await expect(client.call('unknown' as InstanceId, 'echo', {}, generousMs)).toBeRejected();
		await expect(client.call(callee, 'fail', {}, generousMs)).toBeRejected();
	});

	test('guards against silent connections that cost more than one deadline', async () => {
		const {client, proxy} = await createPair();
		await Promise.all(Array.from({length: 4}, async () => client.call(callee, 'echo', {}, generousMs)));
		const openConnections = proxy.connectionCount;
		proxy.silence();
		const outcomes: string[] = [];
		for (let call = 0; call < 6; call += 1) {
			outcomes.push(await client.call(callee, 'echo', {}, 150).then(() => 'answered', () => 'missed'));
		}

		const missed = outcomes.filter(outcome => outcome === 'missed').length;
		expect({openConnections, missed}).toEqual({openConnections: 4, missed: 1});
	});
});
