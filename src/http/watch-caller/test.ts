import {once} from 'node:events';
import {createServer, get, type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {sendAbandonedRequests} from '../../fixtures/send-abandoned-requests/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import type {CallKind} from '../../routing/routing-types/index.js';
import {listenLocally} from '../listen-locally/index.js';
import {parseAddress} from '../parse-address/index.js';
import {CallerWatch} from './index.js';

/** What came of a call whose caller ended its side of the connection. */
type CallEnd = {
	/** Everything that the caller received. */
	readonly received: string;
	readonly outcome: string | undefined;
	readonly durationMs: number;
	/** Requests that reached the target. */
	readonly runs: number;
};

/** How a caller behaves. */
type CallerOptions = {
	readonly kind: CallKind;
	readonly httpVersion?: string;
	/** Time between the request and the end of the caller's side, in milliseconds. */
	readonly endAfterMs: number;
	/** Whether the caller closes its connection and not only its sending side. */
	readonly leaves: boolean;
};

/** Time after which the target answers, in milliseconds. */
const answerAfterMs = 500;

/** Sends a call, ends the caller's side, and waits until the target would have answered. */
async function endCallerSide(t: TestContext, {kind, httpVersion = '1.1', endAfterMs, leaves}: CallerOptions): Promise<CallEnd> {
	let runs = 0;
	const target = await startRawServer((socket, head) => {
		runs += 1;
		setTimeout(() => {
			socket.write(`HTTP/1.1 200 OK\r\nx-id: ${/x-id: (\S+)/u.exec(head)?.[1]}\r\nContent-Length: 4\r\n\r\nbody`);
		}, answerAfterMs);
	});
	const configuration = createRoutingConfiguration({routes: [createRoute('r', {host: 'h', kind})]});
	const gateway = await startTestGateway(configuration, [createDescription('t0', {address: target.address, weightsVersions: new Map()})]);
	t.after(() => {
		gateway.close();
		target.close();
	});
	const socket = connect({...parseAddress(gateway.address), allowHalfOpen: true});
	let received = '';
	socket.on('error', () => undefined);
	socket.on('data', data => {
		received += data.toString('latin1');
	});
	const request = `POST /x HTTP/${httpVersion}\r\nHost: h\r\nx-id: c1\r\nContent-Length: 4\r\n\r\nbody`;
	const endSide = () => {
		if (leaves) {
			socket.destroy();
		} else {
			socket.end();
		}
	};

	if (endAfterMs === 0) {
		// The end follows the request in the kernel, before the gateway has read either.
		socket.write(request, endSide);
	} else {
		socket.write(request);
		setTimeout(endSide, endAfterMs);
	}

	await delay(endAfterMs);
	await delay(answerAfterMs + 400);
	socket.destroy();
	const report = gateway.reports.at(-1);
	return {
		received, outcome: report?.outcome, durationMs: report?.durationMs ?? 0, runs,
	};
}

for (const httpVersion of ['1.0', '1.1']) {
	for (const kind of ['idempotent', 'nonIdempotent', 'streaming'] as const) {
		test(`guards against a caller that gets no answer because it has nothing more to send (HTTP/${httpVersion}, ${kind})`, async t => {
			for (const endAfterMs of [0, 50]) {
				const {received, outcome} = await endCallerSide(t, {
					kind, httpVersion, endAfterMs, leaves: false,
				});
				expect([received.includes('HTTP/1.1 200 OK'), received.includes('body'), outcome]).toEqual([true, true, 'answered']);
			}
		});
	}
}

test('guards against work for a caller that has left, whether it left together with its request or later', async t => {
	const later = await endCallerSide(t, {kind: 'nonIdempotent', endAfterMs: 100, leaves: true});
	expect([later.outcome, later.durationMs < 400]).toEqual(['callerGone', true]);
	const atOnce = await endCallerSide(t, {kind: 'nonIdempotent', endAfterMs: 0, leaves: true});
	expect([atOnce.outcome, atOnce.runs]).toEqual(['callerGone', 0]);
});

const callCount = 10;
const ways = (['close', 'reset'] as const).flatMap(leave => [true, false].map(isAccepted => ({leave, isAccepted})));

test('guards against sending calls whose callers have left before they were read', async () => {
	let sent = 0;
	const server = await startRawServer(() => {
		sent += 1;
	});
	const descriptions = [createDescription('t0', {address: server.address, weightsVersions: new Map()})];
	const gateway = await startTestGateway(createRoutingConfiguration({routes: [createRoute('r', {host: '127.0.0.1'})]}), descriptions);
	const requests = Array.from({length: callCount}, (_, index) => `POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nx-id: c${index}\r\nContent-Length: 4\r\n\r\nbody`);
	try {
		for (const way of ways) {
			await sendAbandonedRequests(gateway.address, {requests, ...way});
			expect({...way, sent}).toEqual({...way, sent: 0});
		}

		expect(gateway.reports.every(report => report.outcome === 'callerGone')).toEqual(true);
		expect(gateway.listener.callsInProgress).toEqual(0);
	} finally {
		gateway.close();
		server.close();
	}
});

/** Time for which a target is silent within its answer, in milliseconds; longer than that for which a caller that has left is served. */
const silenceMs = 500;
const firstEvent = 'id: 1\ndata: a\n\n';
const secondEvent = 'id: 2\ndata: b\n\n';

/** How a call went whose caller ended its side once its answer had begun. */
type BegunCallEnd = Omit<CallEnd, 'runs'> & {
	/** Code of the error that the caller's connection ended with; undefined if it ended in order. */
	readonly errorCode: string | undefined;
	/** Time from the end of the caller's side to the end of the target's connection, in milliseconds. */
	readonly workMs: number;
};

/** How a caller behaves, and what its target does after its silence; by default, it completes its answer. */
type BegunCallOptions = {
	readonly kind: CallKind;
	readonly leaves?: boolean;
	readonly breaksOff?: boolean;
};

function formatChunk(body: string): string {
	return `${body.length.toString(16)}\r\n${body}\r\n`;
}

/** Sends a call, ends the caller's side once the first event has arrived, and waits until the target has ended its answer. */
async function endSideOfBegunCall(t: TestContext, {kind, leaves = false, breaksOff = false}: BegunCallOptions): Promise<BegunCallEnd> {
	let endedAt = 0;
	let workMs = Infinity;
	const target = await startRawServer((socket, head) => {
		socket.once('close', () => {
			workMs = Math.min(workMs, performance.now() - endedAt);
		});
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${/x-id: (\S+)/u.exec(head)?.[1]}\r\nTransfer-Encoding: chunked\r\n\r\n${formatChunk(firstEvent)}`);
		setTimeout(() => {
			if (breaksOff) {
				socket.destroy();
			} else {
				socket.write(`${formatChunk(secondEvent)}0\r\n\r\n`);
			}
		}, silenceMs);
	});
	const gateway = await startTestGateway(
		createRoutingConfiguration({routes: [createRoute('r', {host: 'h', kind})]}),
		[createDescription('t0', {address: target.address, weightsVersions: new Map()})],
	);
	t.after(() => {
		gateway.close();
		target.close();
	});
	const socket = connect({...parseAddress(gateway.address), allowHalfOpen: true});
	const {readText, readErrorCode} = recordReceived(socket);
	socket.write('POST /x HTTP/1.1\r\nHost: h\r\nx-id: c1\r\nContent-Length: 4\r\n\r\nbody');
	await once(socket, 'data');
	endedAt = performance.now();
	if (leaves) {
		socket.destroy();
	} else {
		socket.end();
	}

	await delay(silenceMs + 300);
	socket.destroy();
	const report = gateway.reports.at(-1);
	return {
		received: readText(), errorCode: readErrorCode(), outcome: report?.outcome, durationMs: report?.durationMs ?? 0, workMs,
	};
}

/** Records what `socket` receives. */
function recordReceived(socket: Socket): {readonly readText: () => string; readonly readErrorCode: () => string | undefined} {
	let received = '';
	let errorCode: string | undefined;
	socket.on('error', (error: NodeJS.ErrnoException) => {
		errorCode = error.code;
	});
	socket.on('data', data => {
		received += data.toString('latin1');
	});
	return {readText: () => received, readErrorCode: () => errorCode};
}

/** Returns the body of an answer as the HTTP client of Node.js reads it. */
async function readAsClient(t: TestContext, answer: string): Promise<string> {
	const server = await startRawServer(socket => {
		socket.end(answer, 'latin1');
	});
	t.after(() => {
		server.close();
	});
	const request = get(`http://${server.address}/`);
	const [message] = await once(request, 'response') as [NodeJS.ReadableStream];
	return text(message);
}

for (const kind of ['nonIdempotent', 'streaming'] as const) {
	test(`guards against an answer that is cut because its caller ended its side after the head and not before it (${kind})`, async t => {
		const {received, outcome} = await endSideOfBegunCall(t, {kind});
		expect(outcome).toEqual('answered');
		expect(await readAsClient(t, received)).toEqual(firstEvent + secondEvent);
	});
}

test('guards against work for a caller that has left after the head of its answer', async t => {
	const {outcome, workMs} = await endSideOfBegunCall(t, {kind: 'streaming', leaves: true});
	expect([outcome, workMs < silenceMs - 100]).toEqual(['callerGone', true]);
});

test('guards against an answer that looks complete because it breaks off after zeros', async t => {
	const {received, errorCode, outcome} = await endSideOfBegunCall(t, {kind: 'streaming', breaksOff: true});
	expect([received.includes(firstEvent), errorCode, outcome]).toEqual([true, 'ECONNRESET', 'streamBroken']);
});

/** Serves one request with `answer` on a server that watches its caller, whose side ends after the head. Returns what the caller receives. */
async function watchCaller(t: TestContext, answer: (response: ServerResponse) => Promise<void>): Promise<string> {
	const server = createServer((_, response) => {
		// eslint-disable-next-line no-new
		new CallerWatch(response);
		void answer(response);
	});
	Object.assign(server, {httpAllowHalfOpen: true});
	const address = await listenLocally(server);
	const socket = connect({...parseAddress(address), allowHalfOpen: true});
	t.after(() => {
		socket.destroy();
		server.close();
	});
	const {readText} = recordReceived(socket);
	socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
	await once(socket, 'data');
	socket.end();
	await once(socket, 'end');
	return readText();
}

test('guards against bytes within a body with a length, and against its cut', async t => {
	const received = await watchCaller(t, async response => {
		response.writeHead(200, {'content-length': 8});
		response.write('body');
		await delay(silenceMs);
		response.end('body');
	});
	expect(received.slice(received.indexOf('\r\n\r\n') + 4)).toEqual('bodybody');
});

test('guards against chunk sizes of more digits than clients accept', async t => {
	const received = await watchCaller(t, async response => {
		response.writeHead(200);
		response.write('body');
		// Without a bound, nine zeros would be sent in this time.
		await delay(7000);
		response.end('body');
	});
	expect(/body\r\n(0+4)\r\nbody\r\n0\r\n\r\n$/u.exec(received)?.[1]).toEqual('000000004');
});
