import {spawn} from 'node:child_process';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {request} from 'undici';
import {createAnnouncedVersion} from '../../fixtures/create-announced-version/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import type {DataCentreId} from '../../identity/ids/index.js';
import {WeightsVersionHistory} from '../../rollout/weights-version-history/index.js';
import type {Route} from '../../routing/routing-types/index.js';

/** Answers one request; `requestNumber` counts the requests at all targets, from 1. */
type Script = (socket: Socket, id: string, requestNumber: number) => void;

/** Starts a call listener before two targets that answer as scripted. They are closed after the test. */
async function startTargets(t: TestContext, route: Partial<Route>, script: Script) {
	let requests = 0;
	const servers = await Promise.all([0, 1].map(async () => startRawServer((socket, head) => {
		requests += 1;
		script(socket, /x-id: (\S+)/u.exec(head)?.[1] ?? '', requests);
	})));
	const descriptions = servers.map(({address}, index) => createDescription(`t${index}`, {address, weightsVersions: new Map()}));
	const gateway = await startTestGateway(createRoutingConfiguration({routes: [createRoute('r', {host: '127.0.0.1', ...route})]}), descriptions);
	t.after(() => {
		gateway.close();
		for (const server of servers) {
			server.close();
		}
	});
	return {
		countRequests: () => requests,
		async call(id: string, waitMs = 4000) {
			const startedAt = performance.now();
			const answer = await request(`http://${gateway.address}/x`, {headers: {'x-id': id, 'x-wait': String(waitMs)}, method: 'POST', body: 'body'});
			const body = await answer.body.text().catch(() => 'cut');
			return {status: answer.statusCode, body, durationMs: performance.now() - startedAt};
		},
	};
}

/** Writes `piece` every `intervalMs` until the connection is closed. Returns a function that stops it. */
function writeRepeatedly(socket: Socket, piece: string | Buffer, intervalMs: number): () => void {
	const timer = setInterval(() => {
		socket.write(piece);
	}, intervalMs);
	const stop = () => {
		clearInterval(timer);
	};

	socket.once('close', stop);
	return stop;
}

const formatChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const formatEvent = (id: number) => formatChunk(`id: ${id}\ndata: x\n\n`);
const startStream = (id: string) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`;
const formatAnswer = (id: string, body: string) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
const lastChunk = '0\r\n\r\n';

for (const [name, start, piece] of [['a partial event', 'data: ', 'x'], ['a comment', '', ': wait\n\n'], ['a blank line', '', '\n']] as const) {
	test(`guards against a stalled stream that never ends because its target sends ${name} now and then`, async t => {
		const {call, countRequests} = await startTargets(t, {kind: 'streaming', isResumable: true}, (socket, id, requestNumber) => {
			if (requestNumber === 1) {
				socket.write(startStream(id) + formatEvent(1) + (start === '' ? '' : formatChunk(start)));
				writeRepeatedly(socket, formatChunk(piece), 150);
			} else {
				socket.write(startStream(id) + formatEvent(1) + formatEvent(2) + lastChunk);
			}
		});
		const {body, durationMs} = await call('c1');
		expect(body.match(/id: \d/gu)).toEqual(['id: 1', 'id: 2']);
		expect(countRequests()).toEqual(2);
		expect(durationMs < 2000).toEqual(true);
	});
}

test('guards against memory that an event without an end fills', async t => {
	const {call, countRequests} = await startTargets(t, {kind: 'streaming', isResumable: true}, (socket, id, requestNumber) => {
		if (requestNumber === 1) {
			socket.write(startStream(id) + formatEvent(1));
			writeRepeatedly(socket, formatChunk('x'.repeat(65_536)), 1);
		} else {
			socket.write(startStream(id) + formatEvent(2) + lastChunk);
		}
	});
	const {body, durationMs} = await call('c1');
	expect([body, countRequests()]).toEqual(['id: 1\ndata: x\n\nid: 2\ndata: x\n\n', 2]);
	expect(durationMs < 1000).toEqual(true);
});

for (const kind of ['idempotent', 'nonIdempotent', 'streaming'] as const) {
	test(`guards against interim responses without end that keep a call of kind ${kind} until its deadline`, async t => {
		const {call, countRequests} = await startTargets(t, {kind}, (socket, id, requestNumber) => {
			if (requestNumber === 1) {
				writeRepeatedly(socket, 'HTTP/1.1 102 Processing\r\n\r\n', 1);
			} else {
				socket.write(formatAnswer(id, 'ok'));
			}
		});
		const {status, durationMs} = await call('c1');
		expect([status, countRequests()]).toEqual(kind === 'idempotent' ? [200, 2] : [502, 1]);
		expect(durationMs < 1000).toEqual(true);
	});
}

/** Delays of the second copy of an answer: at once, while the connection is idle, and just after the next request was written. */
const copyDelaysMs = [0, 15, 45];

for (const kind of ['idempotent', 'nonIdempotent', 'streaming'] as const) {
	for (const copyDelayMs of copyDelaysMs) {
		test(`guards against the second copy of an answer, sent ${copyDelayMs} ms after the first, as the answer to the next call of kind ${kind}`, async t => {
			const {call} = await startTargets(t, {kind}, (socket, id, requestNumber) => {
				const answer = formatAnswer(id, `body of ${id}`);
				if (requestNumber % 2 === 0) {
					setTimeout(() => {
						socket.write(answer);
					}, 20);
					return;
				}

				socket.write(answer);
				setTimeout(() => {
					socket.write(answer);
				}, copyDelayMs);
			});
			for (let number = 0; number < 8; number += 1) {
				const {status, body} = await call(`c${number}`);
				expect(status === 200 ? body === `body of c${number}` : status === 502).toEqual(true);
				await delay(30);
			}
		});
	}
}

/** How a target in a process of its own streams. */
type SlowStream = {readonly events: number; readonly intervalMs: number};

/** Program of a target that sends events at an interval and prints its port. */
const formatSlowTargetProgram = ({events, intervalMs}: SlowStream) => String.raw`
	const {createServer} = require('node:http');
	const server = createServer((message, response) => {
		response.writeHead(200, {'x-id': message.headers['x-id']});
		response.flushHeaders();
		let number = 0;
		const timer = setInterval(() => {
			number += 1;
			if (number > ${events}) {
				clearInterval(timer);
				response.end();
			} else {
				response.write('id: ' + number + '\ndata: x\n\n');
			}
		}, ${intervalMs});
	});
	server.listen(0, '127.0.0.1', () => console.log(server.address().port));
`;

/** Starts a gateway before a slow target in a process of its own, which takes the first call, and a target that only counts its requests. */
async function startSlowTarget(t: TestContext, stream: SlowStream) {
	const child = spawn(process.execPath, ['-e', formatSlowTargetProgram(stream)], {stdio: ['ignore', 'pipe', 'inherit']});
	t.after(() => {
		child.kill();
	});
	const [port] = await once(child.stdout, 'data') as [Buffer];
	let requestsElsewhere = 0;
	const other = await startRawServer(() => {
		requestsElsewhere += 1;
	});
	t.after(() => {
		other.close();
	});
	const descriptions = [
		createDescription('t0', {address: `127.0.0.1:${String(port).trim()}`, weightsVersions: new Map()}),
		createDescription('t1', {address: other.address, weightsVersions: new Map(), dataCentre: 'dc-2' as DataCentreId}),
	];
	const route = createRoute('r', {
		host: '127.0.0.1', kind: 'streaming', isResumable: true, timeoutMs: 8000,
	});
	const gateway = await startTestGateway(createRoutingConfiguration({routes: [route]}), descriptions);
	t.after(() => {
		gateway.close();
	});
	return {
		/** Sends a call. `attempts` also counts those that were ended before their request was sent. */
		async call() {
			const {body} = await request(`http://${gateway.address}/x`, {headers: {'x-id': 'c1', 'x-wait': '6000'}, method: 'POST', body: 'body'});
			const text = await body.text();
			return {text, attempts: gateway.reports.at(-1)?.attempts, requestsElsewhere};
		},
	};
}

const formatEvents = (count: number) => Array.from({length: count}, (_, index) => `id: ${index + 1}\ndata: x\n\n`).join('');

test('guards against cutting a slow but sound stream', async t => {
	const {call} = await startSlowTarget(t, {events: 4, intervalMs: 700});
	expect(await call()).toEqual({text: formatEvents(4), attempts: 1, requestsElsewhere: 0});
});

/** Where in a turn of the event loop the process stands still. After the second, timers run before connections are read. */
const standstills = [['before connections are read', delay], ['after connections are read', async (ms: number) => {
	await delay(ms);
	await nextTurn();
}]] as const;

for (const [name, waitForMoment] of standstills) {
	test(`guards against blaming a target for the time in which this process stood still ${name}`, async t => {
		const {call} = await startSlowTarget(t, {events: 8, intervalMs: 300});
		const answer = call();
		await waitForMoment(500);
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 1500);
		expect(await answer).toEqual({text: formatEvents(8), attempts: 1, requestsElsewhere: 0});
	});
}

test('guards against a withdrawn call that may have run and is refused as not run', async t => {
	let requests = 0;
	const server = await startRawServer(() => {
		requests += 1;
	});
	const versionHistory = new WeightsVersionHistory();
	versionHistory.addVersion(createAnnouncedVersion(2, 200, performance.now()));
	const route = createRoute('r', {
		host: '127.0.0.1', kind: 'nonIdempotent', timeoutMs: 8000, latencyGoalMs: 8000,
	});
	const descriptions = [createDescription('t0', {address: server.address})];
	const gateway = await startTestGateway(createRoutingConfiguration({routes: [route]}), descriptions, {findVersionHistory: () => versionHistory});
	t.after(() => {
		gateway.close();
		server.close();
	});
	const startedAt = performance.now();
	const headers = {'x-id': 'c1', 'x-wait': '8000', 'x-parts': 'a,b'};
	const {statusCode} = await request(`http://${gateway.address}/x`, {headers, method: 'POST', body: 'body'});
	const durationMs = performance.now() - startedAt;
	expect([statusCode, requests]).toEqual([502, 1]);
	expect(durationMs > 2000 && durationMs < 7000).toEqual(true);
});

test('guards against the refusal of another request, written once more: a call that may run once is not sent to a second target', async t => {
	const {countRequests, call} = await startTargets(t, {kind: 'nonIdempotent'}, (socket, _id, requestNumber) => {
		socket.write(requestNumber === 1
			? 'HTTP/1.1 503 Busy\r\nx-id: earlier\r\nx-not-run: true\r\nContent-Length: 0\r\n\r\n'
			: 'HTTP/1.1 500 Second\r\nContent-Length: 0\r\n\r\n');
	});
	const {status} = await call('c1');
	expect([status, countRequests()]).toEqual([502, 1]);
});

test('takes the refusal of the own request, or one without an id, for "not run"', async t => {
	for (const idLine of ['own', 'none']) {
		const {countRequests, call} = await startTargets(t, {kind: 'nonIdempotent', maximumAttempts: 2}, (socket, id, requestNumber) => {
			socket.write(requestNumber === 1
				? `HTTP/1.1 503 Busy\r\n${idLine === 'own' ? `x-id: ${id}\r\n` : ''}x-not-run: true\r\nContent-Length: 0\r\n\r\n`
				: `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nContent-Length: 2\r\n\r\nok`);
		});
		const {status} = await call('c1');
		expect([status, countRequests()]).toEqual([200, 2]);
	}
});

/** Sends two events of a resumable stream and breaks off, and lets the next target answer with `continuation`. Returns what the caller got. */
async function continueBrokenStream(t: TestContext, continuation: (id: string) => string): Promise<{readonly body: string; readonly status: number}> {
	const {call} = await startTargets(t, {kind: 'streaming', isResumable: true, maximumAttempts: 2}, (socket, id, requestNumber) => {
		if (requestNumber > 1) {
			socket.end(continuation(id));
			return;
		}

		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n${formatEvent(1)}${formatEvent(2)}`);
		setTimeout(() => {
			socket.destroy();
		}, 20);
	});
	return call('c1');
}

test('guards against an error text or a whole head in the middle of a stream that looks complete', async t => {
	const chunked = (id: string) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`;
	const end = '0\r\n\r\n';
	const faults = [
		(id: string) => `${chunked(id)}${formatChunk('an error')}${end}`,
		(id: string) => `${chunked(id)}${formatChunk('an error\n\nwith a blank line')}${end}`,
		(id: string) => `${chunked(id)}${formatChunk('HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\nfail')}${end}`,
		(id: string) => `${chunked(id)}${formatEvent(3)}${formatChunk('id: 4\nda')}${end}`,
		(id: string) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nContent-Length: 8\r\n\r\nan error`,
		(id: string) => `HTTP/1.1 500 Error\r\nx-id: ${id}\r\nContent-Length: 8\r\n\r\nan error`,
	];
	for (const fault of faults) {
		const {body} = await continueBrokenStream(t, fault);
		expect(body).toEqual('cut');
	}
});

test('continues a stream that broke off with the next events, and ends one that has none left', async t => {
	const chunked = (id: string) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`;
	const events = (ids: readonly number[]) => ids.map(id => `id: ${id}\ndata: x\n\n`).join('');
	const continued = await continueBrokenStream(t, id => `${chunked(id)}${formatEvent(3)}0\r\n\r\n`);
	expect(continued.body).toEqual(events([1, 2, 3]));
	const ended = await continueBrokenStream(t, id => `${chunked(id)}0\r\n\r\n`);
	expect(ended.body).toEqual(events([1, 2]));
});

test('guards against a head that is cut in its middle and looks like an answer', async t => {
	const heads = ['HTTP/1.1 200 OK\r\n', 'HTTP/1.1 200 OK\r\nx-id: ID\r\nContent-Le', 'HTTP/1.1 200 OK\r\nx-id: ID\r\nContent-Length: 0\r\n', 'HTTP/1.1 200 OK\r\nx-id: ID\r\nTransfer-Encoding: chunked\r\n', 'HTTP/1.1 2'];
	for (const kind of ['idempotent', 'nonIdempotent', 'streaming'] as const) {
		for (const head of heads) {
			for (const isReset of [false, true]) {
				const {call} = await startTargets(t, {kind, maximumAttempts: 2}, (socket, id) => {
					socket.write(head.replace('ID', id), () => {
						if (isReset) {
							socket.resetAndDestroy();
						} else {
							socket.end();
						}
					});
				});
				const {status} = await call('c1');
				expect(status).toEqual(502);
			}
		}
	}
});
