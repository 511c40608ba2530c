import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {SystemClock} from '../../clock/clock/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createMember} from '../../fixtures/create-member/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {sendRawRequest} from '../../fixtures/send-raw-request/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {holdEventLoop, startWorkerTarget} from '../../fixtures/start-worker-target/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {CallHandover} from '../call-handover/index.js';
import {servedHeader} from '../handover-headers/index.js';

const requestText = 'POST /x HTTP/1.1\r\nHost: h\r\nx-id: c1\r\nx-wait: 4000\r\nContent-Length: 4\r\n\r\nbody';
const event = 'id: 1\ndata: x\n\n';
const eventChunk = `${event.length.toString(16)}\r\n${event}\r\n`;

/** Creates the handover of an instance that is cut off, with one peer. */
function createHandover(peerAddress: string, shouldHandOver: boolean, onSilent: () => void = () => undefined, isMember = true) {
	return new CallHandover({
		self: 'self' as InstanceId, clock: new SystemClock(), logger: quietLogger, random: new RandomSource(1),
		reachability: {
			isCutOff: true, canConnect: true, shouldHandOver: () => shouldHandOver, settle: async () => undefined,
		},
		peers: {
			list: () => [createMember('peer', {peerAddress})],
			isMember: () => isMember,
			recordCutOff: () => undefined,
			recordSilent: onSilent,
		},
	});
}

/** Failures of an instance that stands still for 0.9 s while a sound one needs the given time for its answer. */
const failuresByAnswerMs = [
	['leaving a sound instance whose answer had arrived and waits unread', 300],
	['taking a sound instance for silent because this one stood still', 1400],
] as const;

for (const [failure, answerMs] of failuresByAnswerMs) {
	for (const kind of ['idempotent', 'nonIdempotent'] as const) {
		test(`guards against ${failure} (${kind})`, async (t: TestContext) => {
			let silent = 0;
			const handover = createHandover(await startWorkerTarget(t, answerMs, `${servedHeader}: true\r\n`), true, () => {
				silent += 1;
			});
			const configuration = createRoutingConfiguration({routes: [createRoute('r', {host: 'h', kind, timeoutMs: 5000})]});
			const gateway = await startTestGateway(configuration, [], {}, handover);
			t.after(() => {
				gateway.close();
			});
			const answer = sendRawRequest(gateway.address, requestText);
			await holdEventLoop(900);
			const {head} = await answer;
			expect([head.split('\r\n')[0], silent]).toEqual(['HTTP/1.1 200 OK', 0]);
		});
	}
}

/** Starts an instance that answers questions at once, and calls in two parts with `pauseMs` between them. */
async function startPausingPeer(t: TestContext, pauseMs: number): Promise<string> {
	const peer = await startRawServer((socket, head) => {
		if (head.startsWith('GET')) {
			socket.end('HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n');
			return;
		}

		socket.write(`HTTP/1.1 200 OK\r\nx-id: c1\r\n${servedHeader}: true\r\nContent-Length: 5\r\n\r\nbe`);
		setTimeout(() => {
			socket.write('gun');
		}, pauseMs);
	});
	t.after(() => {
		peer.close();
	});
	return peer.address;
}

for (const [cause, standstillMs] of [['its target pauses', 0], ['this instance stood still', 1300]] as const) {
	test(`guards against breaking off the answer of a sound instance that is no member any more because ${cause}`, async (t: TestContext) => {
		const handover = createHandover(await startPausingPeer(t, 1800), true, undefined, false);
		const configuration = createRoutingConfiguration({routes: [createRoute('r', {host: 'h', timeoutMs: 5000})]});
		const gateway = await startTestGateway(configuration, [], {}, handover);
		t.after(() => {
			gateway.close();
		});
		const answer = sendRawRequest(gateway.address, requestText);
		await holdEventLoop(standstillMs);
		const {body, isComplete} = await answer;
		expect({body, isComplete}).toEqual({body: 'begun', isComplete: true});
	});
}

test('guards against a stream that has begun and is sent as a whole to another instance', async t => {
	const clock = new SystemClock();
	const fleet = new TargetFleet(quietLogger);
	const target = await startRawServer(socket => {
		socket.write(`HTTP/1.1 200 OK\r\nx-id: c1\r\nTransfer-Encoding: chunked\r\n\r\n${eventChunk}`);
		setTimeout(() => {
			fleet.replace([], clock.readMonotonic());
			socket.destroy();
		}, 100);
	});
	let handedOver = 0;
	const peer = await startRawServer(socket => {
		handedOver += 1;
		socket.write(`HTTP/1.1 200 OK\r\nx-id: c1\r\n${servedHeader}: true\r\nTransfer-Encoding: chunked\r\n\r\n${eventChunk}`);
	});
	const description = createDescription('t0', {address: target.address, weightsVersions: new Map()});
	fleet.replace([description], clock.readMonotonic());
	const route = createRoute('r', {
		host: 'h', kind: 'streaming', isResumable: true, timeoutMs: 4000, maximumAttempts: 4,
	});
	const gateway = await startTestGateway(createRoutingConfiguration({routes: [route]}), [description], {fleet}, createHandover(peer.address, false));
	t.after(() => {
		gateway.close();
		target.close();
		peer.close();
	});
	const {body, isComplete} = await sendRawRequest(gateway.address, requestText);
	expect({body, isComplete, handedOver}).toEqual({body: event, isComplete: false, handedOver: 0});
});
