import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {Worker} from 'node:worker_threads';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {parseAddress} from '../parse-address/index.js';

const requestText = 'POST /x HTTP/1.1\r\nHost: h\r\nx-id: c1\r\nContent-Length: 4\r\n\r\nbody';

function createConfiguration(idleTimeoutMs: number) {
	return createRoutingConfiguration({
		routes: [createRoute('r', {host: 'h'})], limits: {maximumBodyBytes: 10_000, headerTimeoutMs: 3000, idleTimeoutMs},
	});
}

/** Starts a gateway whose idle limit is `idleTimeoutMs`, before a target that answers everything. */
async function startGateway(t: TestContext, idleTimeoutMs: number) {
	const target = await startRawServer((socket, head) => {
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${/x-id: (\S+)/u.exec(head)?.[1]}\r\nContent-Length: 2\r\n\r\nok`);
	});
	const description = createDescription('t0', {address: target.address, weightsVersions: new Map()});
	const gateway = await startTestGateway(createConfiguration(idleTimeoutMs), [description]);
	gateway.apply(createConfiguration(idleTimeoutMs));
	t.after(() => {
		gateway.close();
		target.close();
	});
	return gateway;
}

/** Sends a request on an open connection; resolves to whether it is answered. */
async function sendOn(socket: Socket): Promise<boolean> {
	if (socket.destroyed || socket.readableEnded) {
		return false;
	}

	const answered = once(socket, 'data').then(() => true, () => false);
	const closed = once(socket, 'close').then(() => false, () => false);
	socket.write(requestText);
	return Promise.race([answered, closed]);
}

async function openConnection(t: TestContext, address: string): Promise<Socket> {
	const socket = connect(parseAddress(address));
	socket.on('error', () => undefined);
	t.after(() => {
		socket.destroy();
	});
	expect(await sendOn(socket)).toEqual(true);
	return socket;
}

test('guards against closing a connection at an earlier idle limit after the limit was raised', async t => {
	const gateway = await startGateway(t, 300);
	const socket = await openConnection(t, gateway.address);
	gateway.apply(createConfiguration(4000));
	await delay(2200);
	expect(await sendOn(socket)).toEqual(true);
});

test('closes idle connections at the limit that was in force when their last answer ended', async t => {
	for (const [first, second] of [[300, 300], [600, 100]] as const) {
		const gateway = await startGateway(t, first);
		const socket = await openConnection(t, gateway.address);
		gateway.apply(createConfiguration(second));
		const startedAt = performance.now();
		await once(socket, 'close');
		const closedMs = performance.now() - startedAt;
		expect(closedMs >= first && closedMs < first + 2500).toEqual(true);
	}
});

/** Sends a request on a connection of its own, another one `pauseMs` after the answer, and reports whether that is answered. */
const callerSource = `
	const {connect} = require('node:net');
	const {parentPort, workerData: {host, port, requestText, pauseMs}} = require('node:worker_threads');
	const socket = connect({host, port});
	let answers = 0;
	socket.on('error', () => {});
	socket.on('data', () => {
		answers += 1;
		if (answers === 1) {
			parentPort.postMessage('first');
			setTimeout(() => socket.write(requestText), pauseMs);
		} else {
			parentPort.postMessage('second');
			socket.destroy();
		}
	});
	socket.on('close', () => parentPort.postMessage('closed'));
	socket.write(requestText);
`;

test('guards against closing a connection whose next request waits unread while the event loop is late', async t => {
	const gateway = await startGateway(t, 300);
	const worker = new Worker(callerSource, {eval: true, workerData: {...parseAddress(gateway.address), requestText, pauseMs: 250}});
	t.after(async () => {
		await worker.terminate();
	});
	const messages: string[] = [];
	worker.on('message', message => {
		messages.push(String(message));
	});
	await once(worker, 'message');
	// Timers run between the end of this turn and the next read of sockets.
	await nextTurn();
	const end = performance.now() + 1700;
	while (performance.now() < end) {
		// Holds the event loop beyond the idle limit.
	}

	while (messages.length < 2) {
		await delay(10);
	}

	expect(messages.slice(0, 2)).toEqual(['first', 'second']);
});
