import {createServer} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {after, describe, test} from 'node:test';
import {expect} from 'earl';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {listenLocally} from '../../http/listen-locally/index.js';
import {readJsonBody} from '../../http/read-body/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import {FaultyProxy} from '../../standin/faulty-proxy/index.js';
import {PeerServer} from '../peer-server/index.js';
import {PeerClient} from './index.js';

const callee = 'b' as InstanceId;
const longTimeoutMs = 2000;
const shortTimeoutMs = 150;
/** Timeout of calls whose end shows a silence. */
const silenceTimeoutMs = 400;

async function createClientAndProxy() {
	const server = new PeerServer(callee);
	const proxy = new FaultyProxy(await server.listen('127.0.0.1:0'));
	const address = await proxy.listen();
	const client = new PeerClient({self: 'a' as InstanceId, findPeerAddress: peer => peer === 'unknown' ? undefined : address});
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

/** Starts `count` instances behind proxies, and a client that has an idle connection to each. */
async function createClientOfSeveral(count: number) {
	const peers = await Promise.all(Array.from({length: count}, async (_, index) => {
		const id = `peer${index}` as InstanceId;
		const server = new PeerServer(id);
		server.register('echo', async parameters => parameters);
		const proxy = new FaultyProxy(await server.listen('127.0.0.1:0'));
		return {
			id, server, proxy, address: await proxy.listen(),
		};
	}));
	const client = new PeerClient({self: 'a' as InstanceId, findPeerAddress: id => peers.find(peer => peer.id === id)?.address});
	after(async () => {
		await client.close();
		for (const {proxy, server} of peers) {
			proxy.close();
			await server.close();
		}
	});
	for (const {id} of peers) {
		await client.call(id, 'echo', {}, longTimeoutMs);
	}

	return {peers, client};
}

describe('PeerClient', () => {
	test('calls a method and passes the caller\'s id to it', async () => {
		const {client} = await createClientAndProxy();
		expect(await client.call(callee, 'echo', {x: 1}, longTimeoutMs)).toEqual({parameters: {x: 1}, from: 'a'});
	});

	test('guards against calls that are served by an instance that has taken over the callee\'s address', async () => {
		const {client} = await createClientAndProxy();
		await expect(client.call('c' as InstanceId, 'echo', {}, longTimeoutMs)).toBeRejected();
		await expect(client.call('unknown' as InstanceId, 'echo', {}, longTimeoutMs)).toBeRejected();
		await expect(client.call(callee, 'fail', {}, longTimeoutMs)).toBeRejected();
	});

	test('guards against a poll under way that is broken off because other calls time out and their connections are replaced', async () => {
		const {peers, client} = await createClientOfSeveral(2);
		const [first, second] = peers;
		first!.server.register('poll', async () => {
			await delay(3 * silenceTimeoutMs);
			return 'polled';
		});
		second!.server.register('hang', async () => delay(longTimeoutMs));
		first!.server.register('hang', async () => delay(longTimeoutMs));
		const poll = client.call(first!.id, 'poll', {}, longTimeoutMs);
		await expect(client.call(second!.id, 'hang', {}, silenceTimeoutMs)).toBeRejected();
		await expect(client.call(first!.id, 'hang', {}, silenceTimeoutMs)).toBeRejected();
		expect(await poll).toEqual('polled');
	});

	test('guards against an answer that has begun and never ends, and against one that counts as late although it has begun', async () => {
		const timeoutMs = 400;
		const server = await startRawServer(socket => {
			socket.write('HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n\r\n{');
		});
		const client = new PeerClient({self: 'a' as InstanceId, findPeerAddress: () => server.address});
		after(async () => {
			await client.close();
			server.close();
		});
		let hasBegun = false;
		const startedAt = performance.now();
		await expect(client.call(callee, 'large', {}, {
			timeoutMs,
			onAnswerBegun() {
				hasBegun = true;
			},
		})).toBeRejected();
		expect([hasBegun, performance.now() - startedAt >= timeoutMs - 1]).toEqual([true, true]);
	});

	test('guards against a slow answer that is broken off by the timeout although its parts keep arriving, and against one that stalls', async () => {
		const pauseMs = 15;
		const server = createServer((message, response) => {
			void readJsonBody(message, 1000).then(async body => {
				const {id, params: {stallsAfter}} = body as {id: number; params: {stallsAfter: number}};
				const answer = JSON.stringify({jsonrpc: '2.0', id, result: 'whole'});
				response.write(answer[0]);
				for (const character of answer.slice(1, stallsAfter)) {
					await delay(pauseMs);
					response.write(character);
				}

				if (stallsAfter > answer.length) {
					response.end();
				}
			});
		});
		const address = await listenLocally(server);
		const client = new PeerClient({self: 'a' as InstanceId, findPeerAddress: () => address});
		after(async () => {
			await client.close();
			server.closeAllConnections();
			server.close();
		});
		const timeout = {timeoutMs: 250, progress: {silenceMs: 250, maximumMs: 5000}};
		expect(await client.call(callee, 'slow', {stallsAfter: 100}, timeout)).toEqual('whole');
		await expect(client.call(callee, 'slow', {stallsAfter: 100}, {timeoutMs: 250})).toBeRejected();
		await expect(client.call(callee, 'slow', {stallsAfter: 20}, timeout)).toBeRejected();
	});

	test('guards against timeouts of several calls in a row after all connections of a peer have gone silent', async () => {
		const {client, proxy} = await createClientAndProxy();
		await Promise.all(Array.from({length: 4}, async () => client.call(callee, 'echo', {}, longTimeoutMs)));
		const openConnections = proxy.connectionCount;
		proxy.stallOpenConnections();
		const outcomes: string[] = [];
		for (let call = 0; call < 6; call += 1) {
			outcomes.push(await client.call(callee, 'echo', {}, shortTimeoutMs).then(() => 'answered', () => 'timedOut'));
		}

		const timedOut = outcomes.filter(outcome => outcome === 'timedOut').length;
		expect({openConnections, timedOut}).toEqual({openConnections: 4, timedOut: 1});
	});

	test('guards against a timeout at each peer in turn after the connections to all have gone silent, as a follower that polls its watchers had', async () => {
		const {peers, client} = await createClientOfSeveral(7);
		for (const {proxy} of peers) {
			proxy.stallOpenConnections();
		}

		const outcomes: string[] = [];
		for (const {id} of peers) {
			outcomes.push(await client.call(id, 'echo', {}, silenceTimeoutMs).then(() => 'answered', () => 'timedOut'));
		}

		expect(outcomes.filter(outcome => outcome === 'timedOut').length).toEqual(1);
	});

	test('guards against new connections to peers that answer while one peer does not', async () => {
		const {peers, client} = await createClientOfSeveral(3);
		peers[0]!.proxy.stallOpenConnections();
		const silentCall = client.call(peers[0]!.id, 'echo', {}, silenceTimeoutMs).then(() => 'answered', () => 'timedOut');
		await client.call(peers[1]!.id, 'echo', {}, longTimeoutMs);
		expect(await silentCall).toEqual('timedOut');
		// A call on a kept connection times out from here on, one on a new connection does not.
		for (const {proxy} of peers) {
			proxy.stallOpenConnections();
		}

		const outcomes = await Promise.all(peers.map(async ({id}) => client.call(id, 'echo', {}, silenceTimeoutMs).then(() => 'new', () => 'kept')));
		expect(outcomes).toEqual(['new', 'kept', 'new']);
	});

	test('guards against new connections to all peers because a call with a short timeout was too slow', async () => {
		const {peers, client} = await createClientOfSeveral(2);
		peers[0]!.proxy.stallOpenConnections();
		await expect(client.call(peers[0]!.id, 'echo', {}, shortTimeoutMs)).toBeRejected();
		peers[1]!.proxy.stallOpenConnections();
		await expect(client.call(peers[1]!.id, 'echo', {}, shortTimeoutMs)).toBeRejected();
	});
});
