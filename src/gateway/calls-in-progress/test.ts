import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {sendRawRequest} from '../../fixtures/send-raw-request/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import type {Route, RoutingConfiguration} from '../../routing/routing-types/index.js';
import {waitFor} from '../../standin/wait-for/index.js';

const request = 'POST /x HTTP/1.1\r\nHost: h\r\nx-id: c1\r\nx-wait: 5000\r\nContent-Length: 4\r\n\r\nbody';
const formatEvent = (id: number) => `id: ${id}\ndata: x\n\n`;
const formatChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

function createConfiguration(route: Partial<Route>): RoutingConfiguration {
	return createRoutingConfiguration({routes: [createRoute('r', {host: 'h', ...route})]});
}

/** Starts a gateway before one target that answers as scripted. Both are closed after the test. */
async function startGateway(t: TestContext, route: Partial<Route>, script: (socket: Socket, id: string) => void) {
	const target = await startRawServer((socket, head) => {
		script(socket, /x-id: (\S+)/u.exec(head)?.[1] ?? '');
	});
	const gateway = await startTestGateway(createConfiguration(route), [createDescription('t0', {address: target.address, weightsVersions: new Map()})]);
	t.after(() => {
		gateway.close();
		target.close();
	});
	return gateway;
}

/** Sends eight events, one every 100 ms, and the end. */
function sendSlowStream(socket: Socket, id: string): void {
	socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`);
	let sent = 0;
	const timer = setInterval(() => {
		sent += 1;
		socket.write(sent > 8 ? '0\r\n\r\n' : formatChunk(formatEvent(sent)));
		if (sent > 8) {
			clearInterval(timer);
		}
	}, 100);
	socket.once('close', () => {
		clearInterval(timer);
	});
}

for (const isResumable of [false, true]) {
	test(`guards against a stream that is broken off at the timeout of a configuration no longer in force (resumable: ${isResumable})`, async t => {
		const route = {kind: 'streaming', isResumable} as const;
		const gateway = await startGateway(t, {...route, timeoutMs: 500}, sendSlowStream);
		const answer = sendRawRequest(gateway.address, request);
		await delay(200);
		gateway.apply(createConfiguration({...route, timeoutMs: 5000}));
		const {isComplete, body} = await answer;
		expect([isComplete, body.match(/id: \d/gu)?.length]).toEqual([true, 8]);
	});
}

test('guards against a call that is refused at the timeout of a configuration no longer in force', async t => {
	const gateway = await startGateway(t, {kind: 'nonIdempotent', timeoutMs: 300}, (socket, id) => {
		setTimeout(() => {
			socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nContent-Length: 2\r\n\r\nok`);
		}, 500);
	});
	const answer = sendRawRequest(gateway.address, request);
	await delay(100);
	gateway.apply(createConfiguration({kind: 'nonIdempotent', timeoutMs: 2000}));
	const {head, body} = await answer;
	expect([head.startsWith('HTTP/1.1 200'), body]).toEqual([true, 'ok']);
});

test('guards against a stream in progress that is broken off at a timeout which was lowered after its arrival', async t => {
	const gateway = await startGateway(t, {kind: 'streaming', timeoutMs: 5000}, sendSlowStream);
	const answer = sendRawRequest(gateway.address, request);
	await delay(200);
	gateway.apply(createConfiguration({kind: 'streaming', timeoutMs: 300}));
	const {isComplete} = await answer;
	expect(isComplete).toEqual(true);
});

/** Sends bytes on one connection and collects what comes back. */
function openConnection(t: TestContext, address: string, text: string) {
	const socket = connect({...parseAddress(address), allowHalfOpen: true});
	let received = '';
	socket.on('error', () => undefined);
	socket.on('data', data => {
		received += data.toString('latin1');
	});
	socket.write(text);
	t.after(() => {
		socket.destroy();
	});
	return {socket, readReceived: () => received};
}

for (const [name, rest] of [['the start of a next request', 'POST /x HTTP/1.1\r\nHo'], ['bytes that are no request', '\u0001\u0002\r\n\r\n']] as const) {
	test(`guards against a refusal of a running call because ${name} follows it on its connection`, async t => {
		const gateway = await startGateway(t, {kind: 'nonIdempotent', timeoutMs: 5000}, (socket, id) => {
			setTimeout(() => {
				socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nContent-Length: 2\r\n\r\nok`);
			}, 2500);
		});
		const limits = {maximumBodyBytes: 1000, headerTimeoutMs: 500, idleTimeoutMs: 5000};
		gateway.apply({...createConfiguration({kind: 'nonIdempotent', timeoutMs: 5000}), limits});
		const {readReceived} = openConnection(t, gateway.address, request + rest);
		await delay(3000);
		expect(readReceived().split('\r\n')[0]).toEqual('HTTP/1.1 200 OK');
	});
}

test('guards against a call that is sent to a target after all calls were aborted, and cut by the end of the process', async t => {
	let runs = 0;
	const gateway = await startGateway(t, {kind: 'nonIdempotent', timeoutMs: 5000}, () => {
		runs += 1;
	});
	const {socket, readReceived} = openConnection(t, gateway.address, request);
	socket.end();
	await waitFor(() => gateway.listener.callsInProgress === 1);
	gateway.listener.refuseCalls();
	gateway.listener.abortCalls();
	await gateway.listener.flushAnswers(300);
	gateway.listener.destroyConnections();
	await delay(50);
	expect([readReceived().includes('HTTP/1.1 503'), runs]).toEqual([true, 0]);
});
