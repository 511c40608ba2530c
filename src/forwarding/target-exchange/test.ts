import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {TargetExchange, type ExchangeStage} from './index.js';

type Result = {status?: number; body: string; outcome: 'complete' | ExchangeStage};

/** Sends one GET and collects what the listener is told. */
async function exchange(client: TargetExchange, address: string, isFresh: boolean): Promise<Result> {
	const result: Result = {body: '', outcome: 'notSent'};
	const target = targets.get(address) ?? createFleetTarget(address, {address});
	targets.set(address, target);
	return new Promise(resolve => {
		client.start(target, {
			method: 'GET', path: '/', headers: ['Host', 'example'], body: undefined, shouldUseNewConnection: isFresh,
		}, {
			onHead(status) {
				result.status = status;
			},
			onChunk(chunk) {
				result.body += chunk.toString();
			},
			onEnd() {
				resolve({...result, outcome: 'complete'});
			},
			onFailure(stage) {
				resolve({...result, outcome: stage});
			},
		});
	});
}

const targets = new Map<string, ReturnType<typeof createFleetTarget>>();

/** Exchanges one call with a server that writes `answer` and then ends its side by `end`. */
async function exchangeOnce(answer: string, end: (socket: Socket) => void): Promise<Result> {
	const server = await startRawServer(socket => {
		socket.write(answer);
		setTimeout(() => {
			end(socket);
		}, 20);
	});
	try {
		return await exchange(new TargetExchange(), server.address, true);
	} finally {
		server.close();
	}
}

const finish = (socket: Socket) => {
	socket.end();
};

const reset = (socket: Socket) => {
	socket.resetAndDestroy();
};

const chunkedHead = 'HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n';
const unframedHead = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

test('guards against a cut chunked answer that looks complete since its connection was to be closed', async () => {
	const {outcome} = await exchangeOnce(`${chunkedHead}4\r\nabcd\r\n`, finish);
	expect(outcome).toEqual('answering');
});

test('guards against an answer without length that was reset and looks complete', async () => {
	const {outcome} = await exchangeOnce(`${unframedHead}abcd`, reset);
	expect(outcome).toEqual('answering');
});

test('takes an answer without length as complete when the connection ends in order', async () => {
	expect(await exchangeOnce(`${unframedHead}abcd`, finish)).toEqual({status: 200, body: 'abcd', outcome: 'complete'});
});

test('guards against an answer that is shorter than its stated length', async () => {
	const {outcome} = await exchangeOnce('HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nabcd', finish);
	expect(outcome).toEqual('answering');
});

test('guards against claiming that a call ran when no connection could be opened', async () => {
	const server = await startRawServer(() => {
		// Closed before it is asked.
	});
	server.close();
	await delay(20);
	const {outcome} = await exchange(new TargetExchange(), server.address, true);
	expect(outcome).toEqual('notSent');
});

test('guards against sending a call that may run once on a connection that another call has used', async () => {
	const server = await startRawServer(socket => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
	});
	const client = new TargetExchange();
	await exchange(client, server.address, false);
	await delay(10);
	await exchange(client, server.address, false);
	expect(server.countConnections()).toEqual(1);
	await exchange(client, server.address, true);
	expect(server.countConnections()).toEqual(2);
	server.close();
	client.prune(new Set());
});
