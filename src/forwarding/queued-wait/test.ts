import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {AdmissionQueues} from '../../admission/admission-queues/index.js';
import {idleAdmissionRecorder} from '../../admission/admission-recorder/index.js';
import {SystemClock} from '../../clock/clock/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {sendRawRequest} from '../../fixtures/send-raw-request/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {Service, ServiceId} from '../../routing/routing-types/index.js';

const service = 'service-1' as ServiceId;
/** Memory in which one call of the test fits. */
const memoryTokens = 150;

const formatCall = (id: string, path: string) => `POST ${path} HTTP/1.1\r\nHost: h\r\nx-id: ${id}\r\nx-wait: 3000\r\nx-parts: a,b\r\nContent-Length: 4\r\n\r\nbody`;

/** Starts a gateway before one engine that has room for one call; the test answers the calls in the order in which they reached it. */
async function startFullEngine(t: TestContext) {
	const received: Array<{readonly id: string; readonly answer: () => void}> = [];
	const engine = await startRawServer((socket, head) => {
		const id = /x-id: (\S+)/u.exec(head)?.[1] ?? '';
		received.push({
			id,
			answer() {
				socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nContent-Length: 2\r\n\r\nok`);
			},
		});
	});
	const clock = new SystemClock();
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('t', {address: engine.address})], 0 as MonotonicMs);
	const admission = new AdmissionQueues({
		clock, fleet, logger: quietLogger, recorder: idleAdmissionRecorder, draw: () => 0,
		readLimits: () => ({
			maximumCalls: 100, maximumBytes: 1e6, longestWaitMs: 5000, goalFraction: 0,
		}),
	});
	const engineService: Service = {id: service, maximumConnections: 100, engine: {slots: 1, memoryTokens, models: []}};
	const routes = [
		createRoute('urgent', {
			host: 'h', pathPrefix: '/urgent/', priority: 0, latencyGoalMs: 2000, timeoutMs: 4000,
		}),
		createRoute('normal', {host: 'h', latencyGoalMs: 2000, timeoutMs: 4000}),
	];
	const gateway = await startTestGateway(createRoutingConfiguration({routes}), [], {
		clock, fleet, admission, findService: () => engineService,
	});
	t.after(() => {
		gateway.close();
		engine.close();
	});
	return {
		gateway, received, admission, fleet,
	};
}

test('guards against calls that are sent in the order in which they look for room, and against room that is found late', async t => {
	const {gateway, received} = await startFullEngine(t);
	const calls: Array<Promise<unknown>> = [];
	for (const [id, path] of [['first', '/x'], ['second', '/x'], ['third', '/x'], ['urgent', '/urgent/x']] as const) {
		calls.push(sendRawRequest(gateway.address, formatCall(id, path)));
		await delay(30);
	}

	const gapsMs: number[] = [];
	for (let index = 0; index < 4; index += 1) {
		const answeredAt = performance.now();
		received[index]!.answer();
		while (received.length < Math.min(index + 2, calls.length)) {
			await delay(2);
		}

		gapsMs.push(performance.now() - answeredAt);
	}

	await Promise.all(calls);
	expect(received.map(({id}) => id)).toEqual(['first', 'urgent', 'second', 'third']);
	t.diagnostic(`time until the next call reached the engine: ${gapsMs.slice(0, 3).map(ms => ms.toFixed(0)).join(', ')} ms`);
});

test('guards against a place in the queue that a caller which has left still holds', async t => {
	const {gateway, received, admission} = await startFullEngine(t);
	const first = sendRawRequest(gateway.address, formatCall('first', '/x'));
	await delay(50);
	const {host, port} = parseAddress(gateway.address);
	const leaving: Socket = connect(port, host);
	leaving.write(formatCall('leaving', '/x'));
	await delay(50);
	expect(admission.get(service).length).toEqual(1);
	leaving.destroy();
	await delay(50);
	expect(admission.get(service).length).toEqual(0);
	received[0]!.answer();
	await first;
	expect(received.length).toEqual(1);
});

test('guards against a call that waits without bound, and against a refusal that does not say that the call has not run', async t => {
	const {gateway, received} = await startFullEngine(t);
	const first = sendRawRequest(gateway.address, formatCall('first', '/x'));
	await delay(50);
	const {head} = await sendRawRequest(gateway.address, formatCall('second', '/x'));
	expect([head.split('\r\n')[0], head.includes('x-not-run: true'), head.includes('retry-after: ')]).toEqual(['HTTP/1.1 503 Service Unavailable', true, true]);
	received[0]!.answer();
	await first;
});

test('guards against a call that spends its attempts at once on a target that refuses it', async t => {
	const receivedAt: number[] = [];
	const target = await startRawServer((socket, head) => {
		receivedAt.push(performance.now());
		const id = /x-id: (\S+)/u.exec(head)?.[1];
		socket.write(receivedAt.length < 3
			? `HTTP/1.1 503 Full\r\nx-id: ${id}\r\nx-not-run: true\r\nContent-Length: 0\r\n\r\n`
			: `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nContent-Length: 2\r\n\r\nok`);
	});
	const {gateway, fleet} = await startFullEngine(t);
	fleet.replace([createDescription('t', {address: target.address})], 0 as MonotonicMs);
	t.after(() => {
		target.close();
	});
	const {head} = await sendRawRequest(gateway.address, formatCall('call', '/x'));
	expect(head.split('\r\n')[0]).toEqual('HTTP/1.1 200 OK');
	const gapsMs = receivedAt.slice(1).map((at, index) => at - receivedAt[index]!);
	expect([gapsMs.length, gapsMs.every(ms => ms >= 50)]).toEqual([2, true]);
});
