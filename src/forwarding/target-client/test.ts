import type {Socket} from 'node:net';
import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {maximumPiecesPerRead} from '../../http/read-turns/index.js';
import type {ExchangeStage} from '../http-exchange/index.js';
import {TargetClient} from './index.js';

type ExchangeResult = {status?: number; body: string; outcome: 'complete' | ExchangeStage};

/** Sends a GET request and collects the events of its listener. */
async function sendGet(client: TargetClient, address: string, shouldUseNewConnection: boolean): Promise<ExchangeResult> {
	const result: ExchangeResult = {body: '', outcome: 'notSent'};
	const target = targets.get(address) ?? createFleetTarget(address, {address});
	targets.set(address, target);
	return new Promise(resolve => {
		client.start(target, {
			method: 'GET', path: '/', headers: ['Host', 'example'], body: undefined, shouldUseNewConnection,
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

/** Sends a request to a server that writes `response` and then closes the connection with `close`. */
async function sendGetToServer(response: string, close: (socket: Socket) => void): Promise<ExchangeResult> {
	const server = await startRawServer(socket => {
		socket.write(response);
		setTimeout(() => {
			close(socket);
		}, 20);
	});
	try {
		return await sendGet(new TargetClient(), server.address, true);
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

test('guards against taking a truncated chunked response with `Connection: close` as complete', async () => {
	const {outcome} = await sendGetToServer(`${chunkedHead}4\r\nabcd\r\n`, finish);
	expect(outcome).toEqual('responding');
});

test('guards against taking a response without a length as complete after a connection reset', async () => {
	const {outcome} = await sendGetToServer(`${unframedHead}abcd`, reset);
	expect(outcome).toEqual('responding');
});

test('takes a response without a length as complete when the connection is closed normally', async () => {
	expect(await sendGetToServer(`${unframedHead}abcd`, finish)).toEqual({status: 200, body: 'abcd', outcome: 'complete'});
});

test('guards against an answer with a status that HTTP does not have', async () => {
	for (const status of ['000', '099', '600', '999']) {
		const result = await sendGetToServer(`HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok`, finish);
		expect({status: result.status, isComplete: result.outcome === 'complete'}).toEqual({status: undefined, isComplete: false});
	}
});

test('guards against taking a response as complete that is shorter than its Content-Length', async () => {
	const {outcome} = await sendGetToServer('HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nabcd', finish);
	expect(outcome).toEqual('responding');
});

test('guards against reporting a call as sent when no connection could be opened', async () => {
	const server = await startRawServer(() => {
		// The server closes before the first connection.
	});
	server.close();
	await delay(20);
	const {outcome} = await sendGet(new TargetClient(), server.address, true);
	expect(outcome).toEqual('notSent');
});

test('guards against sending a call that may run at most once on a reused connection', async () => {
	const server = await startRawServer(socket => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
	});
	const client = new TargetClient();
	await sendGet(client, server.address, false);
	await delay(10);
	await sendGet(client, server.address, false);
	expect(server.countConnections()).toEqual(1);
	await sendGet(client, server.address, true);
	expect(server.countConnections()).toEqual(2);
	server.close();
	client.prune(new Set());
});

test('guards against an answer without length that counts as complete although a reset arrived together with its last bytes', async () => {
	for (const shouldUseNewConnection of [true, false]) {
		const server = await startRawServer(socket => {
			socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
			socket.resetAndDestroy();
		});
		const {outcome} = await sendGet(new TargetClient(), server.address, shouldUseNewConnection);
		server.close();
		expect(outcome).toEqual('responding');
	}
});

test('guards against an answer with a length that counts as broken although the reset came after its last byte', async () => {
	const server = await startRawServer(socket => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole');
		socket.resetAndDestroy();
	});
	expect(await sendGet(new TargetClient(), server.address, true)).toEqual({status: 200, body: 'whole', outcome: 'complete'});
	server.close();
});

test('guards against a whole answer that is lost to a reset while a slow caller still reads it', async () => {
	const length = 50_000;
	const server = await startRawServer(socket => {
		socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n\r\n${'x'.repeat(length)}`);
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 20);
	});
	const target = createFleetTarget('slow', {address: server.address});
	let receivedBytes = 0;
	const outcome = await new Promise(resolve => {
		const exchange = new TargetClient().start(target, {
			method: 'GET', path: '/', headers: ['Host', 'example'], body: undefined, shouldUseNewConnection: true,
		}, {
			onHead() {
				// Only the end matters.
			},
			onChunk(chunk) {
				receivedBytes += chunk.length;
				exchange.pause();
				setTimeout(() => {
					exchange.resume();
				}, 60);
			},
			onEnd() {
				resolve('complete');
			},
			onFailure: resolve,
		});
	});
	server.close();
	expect({outcome, receivedBytes}).toEqual({outcome: 'complete', receivedBytes: length});
});

test('guards against taking a target for unreachable whose connection was made while this process stood still', async t => {
	const server = await startRawServer(socket => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
	});
	t.after(() => {
		server.close();
	});
	const result = sendGet(new TargetClient(), server.address, true);
	await nextTurn();
	// After this, timers run before connections are looked at.
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600);
	expect(await result).toEqual({status: 200, body: 'ok', outcome: 'complete'});
});

const pieceHead = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const piece = '1\r\nx\r\n';
/** Size of one read from a connection, in bytes. */
const readBytes = 64 * 1024;

/** Starts a server that answers with `pieces` pieces of one byte, and closes it after the test. */
async function startPieceServer(t: TestContext, pieces: number) {
	const server = await startRawServer(socket => {
		socket.write(`${pieceHead}${piece.repeat(pieces)}0\r\n\r\n`);
	});
	t.after(() => {
		server.close();
	});
	return server;
}

/** Sends a GET request; returns the sizes of the chunks of its answer. */
async function collectChunkSizes(address: string, client = new TargetClient(), onChunk?: (size: number) => void): Promise<number[]> {
	const sizes: number[] = [];
	await new Promise((resolve, reject) => {
		client.start(createFleetTarget(address, {address}), {
			method: 'GET', path: '/', headers: ['Host', 'example'], body: undefined, shouldUseNewConnection: true,
		}, {
			onHead() {
				// Only the body matters.
			},
			onChunk(chunk) {
				sizes.push(chunk.length);
				onChunk?.(chunk.length);
			},
			onEnd() {
				resolve(undefined);
			},
			onFailure(_stage, error) {
				reject(error);
			},
		});
	});
	return sizes;
}

/** Counts the turns of the event loop while `run` is in progress. */
async function countTurns<Result>(run: (readTurn: () => number) => Promise<Result>): Promise<Result> {
	let turn = 0;
	let isRunning = true;
	const count = () => {
		turn += 1;
		if (isRunning) {
			setImmediate(count);
		}
	};

	setImmediate(count);
	try {
		return await run(() => turn);
	} finally {
		isRunning = false;
	}
}

test('guards against a call and a write to the caller for each short chunk of an answer', async t => {
	const pieces = 5000;
	const server = await startPieceServer(t, pieces);
	const sizes = await collectChunkSizes(server.address);
	expect([sizes.reduce((sum, size) => sum + size, 0), sizes.length < 20]).toEqual([pieces, true]);
});

test('guards against answers in short chunks that hold all other connections up: one of them is read in each turn', async t => {
	const pieces = 200_000;
	const server = await startPieceServer(t, pieces);
	const client = new TargetClient();
	const connections = 4;
	const piecesByTurn = new Map<number, number>();
	await countTurns(async readTurn => Promise.all(Array.from({length: connections}, async () => {
		// Only its first read shows that an answer comes in short chunks.
		let isFirst = true;
		await collectChunkSizes(server.address, client, size => {
			piecesByTurn.set(readTurn(), (piecesByTurn.get(readTurn()) ?? 0) + (isFirst ? 0 : size));
			isFirst = false;
		});
	})));
	const largestRead = Math.ceil(readBytes / piece.length);
	expect(Math.max(...piecesByTurn.values())).toBeLessThanOrEqual(largestRead + (connections * maximumPiecesPerRead));
});

test('guards against a connection that stays silent for the next request after its answer was paused', async t => {
	const server = await startPieceServer(t, 40_000);
	const client = new TargetClient();
	const target = createFleetTarget('paused', {address: server.address});
	for (let request = 0; request < 3; request += 1) {
		let receivedBytes = 0;
		const outcome = await new Promise(resolve => {
			const exchange = client.start(target, {
				method: 'GET', path: '/', headers: ['Host', 'example'], body: undefined, shouldUseNewConnection: false,
			}, {
				onHead() {
					exchange.pause();
					setTimeout(() => {
						exchange.resume();
					}, 20);
				},
				onChunk(chunk) {
					receivedBytes += chunk.length;
					exchange.pause();
					setTimeout(() => {
						exchange.resume();
					}, 5);
				},
				onEnd() {
					resolve('complete');
				},
				onFailure: resolve,
			});
		});
		expect([outcome, receivedBytes]).toEqual(['complete', 40_000]);
		await nextTurn();
	}

	expect(server.countConnections()).toEqual(1);
	client.prune(new Set());
});
