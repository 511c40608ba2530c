import {Agent, request as sendHttp} from 'node:http';
import {setImmediate as nextTurn, setTimeout as delay} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {SystemClock} from '../../clock/clock/index.js';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {createGatewayStop} from './index.js';

/** Creates a planned stop of a gateway with calls in progress, and records the order in which components stop. */
function createRecordedStop(callsInProgress: number) {
	const clock = new ManualClock();
	const steps: string[] = [];
	const recordStep = (step: string) => () => {
		steps.push(`${step} at ${clock.readMonotonic()}`);
	};

	const controller = new AbortController();
	controller.signal.addEventListener('abort', recordStep('tasks ended'));
	const listener = {
		callsInProgress, leave: recordStep('listener leaving'), async close() {
			recordStep('listener closed')();
		}, refuseCalls: recordStep('calls refused'), abortCalls: recordStep('calls aborted'),
		async flushAnswers() {
			recordStep('answers flushed')();
		},
	};
	const stop = createGatewayStop({
		clock, logger: quietLogger, graceMs: 8000, addressValiditySeconds: 1, controller, listener,
		membership: {markLeaving: recordStep('leaving'), stop: recordStep('membership stopped')},
		rollout: {
			async stop() {
				recordStep('rollout released')();
			},
		},
	});
	return {
		clock, steps, stop,
	};
}

test('guards against refused connections of callers with a cached address: the listener stays open until the address expires', async () => {
	const {clock, steps, stop} = createRecordedStop(0);
	void stop.run();
	await clock.advance(10_000);
	expect(steps).toEqual([
		'leaving at 0', 'listener leaving at 0', 'rollout released at 0', 'listener closed at 3300', 'calls refused at 3300', 'answers flushed at 3300', 'membership stopped at 3300', 'tasks ended at 3300',
	]);
});

test('guards against a process killed with calls in progress: they are aborted before the grace period ends', async () => {
	const {clock, steps, stop} = createRecordedStop(3);
	void stop.run();
	await clock.advance(10_000);
	expect(steps).toInclude('calls aborted at 7400');
	expect(steps.at(-1)).toEqual('tasks ended at 7400');
});

const graceMs = 5500;
/** Times that calls take at the target, in milliseconds. */
const workMs = [100, 900, 1800];
/** Time that callers wait, in milliseconds. */
const callerWaitMs = 2500;
const sendIntervalMs = 20;

/** Sends a call; resolves to its status, to `unread` if the connection was refused, or to `cut` if it ended without a whole answer. */
async function sendCall(address: string, id: string, agent: Agent | false): Promise<number | 'unread' | 'cut'> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const message = sendHttp({
			host, port, method: 'POST', path: '/x', agent, headers: {'x-id': id, 'x-wait': String(callerWaitMs), 'content-length': 4},
		}, response => {
			response.resume();
			response.on('close', () => {
				resolve(response.complete ? response.statusCode! : 'cut');
			});
			response.on('error', () => {
				// The `close` event follows.
			});
		});
		message.on('error', (error: NodeJS.ErrnoException) => {
			resolve(error.code === 'ECONNREFUSED' ? 'unread' : 'cut');
		});
		message.end('body');
	});
}

test('guards against calls that come late in the grace period, are taken, and are cut off without an answer at its end', async t => {
	const server = await startRawServer((socket, head, requestNumber) => {
		const id = /x-id: (\S+)/u.exec(head)?.[1] ?? '';
		setTimeout(() => {
			socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nContent-Length: 2\r\n\r\nok`);
		}, workMs[requestNumber % workMs.length]);
	});
	const route = createRoute('r', {
		host: '127.0.0.1', kind: 'nonIdempotent', timeoutMs: 4000, latencyGoalMs: 4000,
	});
	const descriptions = [createDescription('t0', {address: server.address, weightsVersions: new Map()})];
	const {address, listener, close} = await startTestGateway(createRoutingConfiguration({routes: [route]}), descriptions);
	const agent = new Agent({keepAlive: true});
	t.after(() => {
		agent.destroy();
		close();
		server.close();
	});
	const clock = new SystemClock();
	const stop = createGatewayStop({
		clock, logger: quietLogger, graceMs, addressValiditySeconds: 1, controller: new AbortController(), listener,
		membership: {
			markLeaving() {
				// Callers of this test know no other instance.
			},
			stop() {
				// There is no membership.
			},
		},
		rollout: {
			async stop() {
				// There is no rollout.
			},
		},
	});
	const calls: Array<Promise<number | 'unread' | 'cut'>> = [];
	const startedAt = performance.now();
	const stopped = stop.run().then(() => {
		// As at the end of the process, nothing is written any more.
		listener.destroyConnections();
	});
	while (performance.now() - startedAt < graceMs) {
		calls.push(sendCall(address, `new${calls.length}`, false), sendCall(address, `kept${calls.length}`, agent));
		await delay(sendIntervalMs);
	}

	await stopped;
	const results = await Promise.all(calls);
	const count = (result: number | 'unread' | 'cut') => results.filter(other => other === result).length;
	expect(count('cut')).toEqual(0);
	expect([count(200) > 100, count(503) > 0, count(502), count(504)]).toEqual([true, true, 0, 0]);
});

/** Starts a gateway before one target, and its planned stop. */
async function startStoppableGateway(t: TestContext, target: Parameters<typeof startRawServer>[0]) {
	const server = await startRawServer(target);
	const route = createRoute('r', {host: '127.0.0.1', kind: 'nonIdempotent', timeoutMs: 5000});
	const descriptions = [createDescription('t0', {address: server.address, weightsVersions: new Map()})];
	const {address, listener, close} = await startTestGateway(createRoutingConfiguration({routes: [route]}), descriptions);
	t.after(() => {
		close();
		server.close();
	});
	const stop = createGatewayStop({
		clock: new SystemClock(), logger: quietLogger, graceMs, addressValiditySeconds: 0.2, controller: new AbortController(), listener,
		membership: {
			markLeaving() {
				// Callers of this test know no other instance.
			},
			stop() {
				// There is no membership.
			},
		},
		rollout: {
			async stop() {
				// There is no rollout.
			},
		},
	});
	return {
		address, listener,
		/** Stops the gateway; as at the end of the process, nothing is written afterwards. */
		async stop() {
			await stop.run();
			listener.destroyConnections();
		},
	};
}

/** When the first call is answered, in milliseconds; later than the stop closes idle connections, so that its connection is in use then. */
const firstAnswerMs = 1300;

test('guards against calls that are read, or taken on kept connections, when the last call in progress has ended, and cut by the end of the process', async t => {
	const {address, stop} = await startStoppableGateway(t, (socket, head) => {
		const id = /x-id: (\S+)/u.exec(head)?.[1] ?? '';
		setTimeout(() => {
			socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nContent-Length: 2\r\n\r\nok`);
		}, id === 'first' ? firstAnswerMs : 500);
	});
	const agent = new Agent({keepAlive: true});
	const {host, port} = parseAddress(address);
	const slow = new Promise<number | 'cut'>(resolve => {
		const message = sendHttp({
			host, port, method: 'POST', path: '/x', agent: false, headers: {'x-id': 'slow', 'x-wait': '4000', 'content-length': 8},
		}, response => {
			response.resume();
			resolve(response.statusCode!);
		});
		message.on('error', () => {
			resolve('cut');
		});
		message.write('body');
		setTimeout(() => {
			message.end('body');
		}, 2000);
	});
	const first = sendCall(address, 'first', agent);
	await delay(100);
	const stopped = stop();
	expect(await first).toEqual(200);
	// The connection is kept, since the answer began before its caller could learn of the stop. All calls have ended, one is still being read.
	await delay(100);
	const late = await sendCall(address, 'late', agent);
	expect([late, await slow]).toEqual([200, 200]);
	agent.destroy();
	await stopped;
});

test('guards against calls that are reset because their connections wait to be accepted when the listener closes', async t => {
	const server = await startRawServer(socket => {
		socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
	});
	const descriptions = [createDescription('t0', {address: server.address, weightsVersions: new Map()})];
	const {address, listener, close} = await startTestGateway(createRoutingConfiguration({routes: [createRoute('r', {host: '127.0.0.1'})]}), descriptions);
	t.after(() => {
		close();
		server.close();
	});
	const calls = Array.from({length: 30}, async (_, index) => sendCall(address, `c${index}`, false));
	await nextTurn();
	await listener.close();
	const results = await Promise.all(calls);
	expect(results.filter(result => result === 'cut')).toEqual([]);
});
