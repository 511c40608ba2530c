import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {SystemClock} from '../../clock/clock/index.js';
import {createMember} from '../../fixtures/create-member/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {sendRawRequest, type RawResponse} from '../../fixtures/send-raw-request/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {listenLocally} from '../../http/listen-locally/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import type {Route} from '../../routing/routing-types/index.js';
import {CallHandover} from '../call-handover/index.js';
import {cutOffHeader, servedHeader} from '../handover-headers/index.js';

type Behaviour = (response: ServerResponse) => void;

const idempotent: Partial<Route> = {kind: 'idempotent'};
const stream: Partial<Route> = {kind: 'streaming', isResumable: true};

/** Time for which the first instance of these tests stands still, in milliseconds. */
const standstillMs = 1200;

const headOf = (status: number, headers: Record<string, string> = {}): [number, Record<string, string>] => [status, {[servedHeader]: 'true', ...headers}];

const serveWith = (text: string): Behaviour => response => {
	response.writeHead(...headOf(200, {'content-length': String(text.length)})).end(text);
};

/** Answers with `text` in two parts once the instance runs again. */
const serveAfterStandstill: Behaviour = response => {
	setTimeout(() => {
		response.writeHead(...headOf(200));
		response.write('fir');
		setTimeout(() => {
			response.end('st');
		}, 50);
	}, standstillMs);
};

const standStill: Behaviour = () => {
	// No answer follows.
};

const refuse: Behaviour = response => {
	response.writeHead(...headOf(503, {'retry-after': '1'})).end('refused');
};

const sendHead: Behaviour = response => {
	response.writeHead(...headOf(200)).flushHeaders();
};

/**
 * Starts an instance that reaches no target and passes calls on. The first other instance that gets one behaves as the first
 * of `behaviours` says, and so on; none of them answers anything else. The instances count as members as `isMember` says.
 */
async function startInstances(t: TestContext, behaviours: readonly Behaviour[], route: Partial<Route>, isMember = true) {
	const responses: ServerResponse[] = [];
	const handle = (message: IncomingMessage, response: ServerResponse) => {
		if (message.method === 'POST') {
			message.resume();
			responses.push(response);
			behaviours[responses.length - 1]?.(response);
		}
	};

	const servers = behaviours.map(() => createServer(handle));
	const peers: Member[] = [];
	for (const [index, server] of servers.entries()) {
		peers.push(createMember(`i${index}`, {peerAddress: await listenLocally(server)}));
	}

	const handover = new CallHandover({
		self: 'self' as InstanceId, clock: new SystemClock(), logger: quietLogger, random: new RandomSource(1),
		reachability: {
			isCutOff: true, canConnect: false, shouldHandOver: () => true, settle: async () => undefined,
		},
		peers: {
			list: () => peers, isMember: () => isMember, recordCutOff: () => undefined, recordSilent: () => undefined,
		},
	});
	const gateway = await startTestGateway(createRoutingConfiguration({routes: [createRoute('r', {host: '127.0.0.1', timeoutMs: 2500, ...route})]}), [], {}, handover);
	t.after(() => {
		gateway.close();
		for (const server of servers) {
			server.closeAllConnections();
			server.close();
		}
	});
	return {gateway, responses};
}

/** Sends a call to an instance that passes it on. */
async function sendCall(address: string): Promise<RawResponse> {
	return sendRawRequest(address, 'POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nx-id: c1\r\nx-wait: 4000\r\nContent-Length: 4\r\n\r\nbody');
}

function readStatus({head}: RawResponse): number {
	return Number(head.split(' ')[1]);
}

const failures: Record<string, readonly Behaviour[]> = {
	'there is no other one': [],
	'the next one is silent as well': [standStill],
	'the next one resets the connection': [response => {
		response.destroy();
	}],
	'the next one reaches no target either': [response => {
		response.writeHead(503, {[cutOffHeader]: 'true'}).end();
	}],
	'the next one refuses the call': [refuse],
	'the next one refuses the call without a body': [response => {
		response.writeHead(...headOf(429, {'content-length': '0'})).end();
	}],
	'the next one sends only a head': [sendHead],
	'the answer of the next one breaks off after its head': [response => {
		response.writeHead(...headOf(200)).flushHeaders();
		setTimeout(() => {
			response.destroy();
		}, 100);
	}],
};

for (const [failure, nextOnes] of Object.entries(failures)) {
	for (const route of [idempotent, stream]) {
		test(`guards against leaving an instance that stands still and goes on when ${failure} (${route.kind})`, async (t: TestContext) => {
			const {gateway} = await startInstances(t, [serveAfterStandstill, ...nextOnes], route);
			const answer = await sendCall(gateway.address);
			expect([readStatus(answer), answer.body, answer.isComplete]).toEqual([200, 'first', true]);
		});
	}
}

test('guards against a call that goes on at the first instance after the next one has answered, and against mixing both answers', async t => {
	let hasBothOpen = false;
	const {gateway, responses} = await startInstances(t, [serveAfterStandstill, response => {
		hasBothOpen = !responses[0]!.destroyed;
		response.writeHead(...headOf(200));
		response.write('sec');
		setTimeout(() => {
			response.end('ond');
		}, 1000);
	}], idempotent);
	const answer = sendCall(gateway.address);
	await delay(1000);
	const isFirstClosed = responses[0]!.destroyed;
	const {body, isComplete} = await answer;
	expect({
		hasBothOpen, isFirstClosed, body, isComplete,
	}).toEqual({
		hasBothOpen: true, isFirstClosed: true, body: 'second', isComplete: true,
	});
});

for (const connection of ['keep-alive', 'close']) {
	test(`guards against losing the refusal of the next instance when the first one ends the connection (${connection})`, async (t: TestContext) => {
		const {gateway} = await startInstances(t, [response => {
			setTimeout(() => {
				response.destroy();
			}, 1000);
		}, response => {
			response.writeHead(...headOf(503, {'content-length': '7', connection})).end('refused');
		}], idempotent);
		const answer = await sendCall(gateway.address);
		expect([readStatus(answer), answer.body, answer.isComplete]).toEqual([503, 'refused', true]);
	});
}

test('guards against instances that work on for a caller that has left', async t => {
	const {gateway, responses} = await startInstances(t, [standStill, standStill], idempotent);
	const controller = new AbortController();
	const left = fetch(`http://${gateway.address}/x`, {
		method: 'POST', headers: {'x-id': 'c1'}, body: 'b', signal: controller.signal,
	}).catch(() => 'left');
	await delay(1000);
	const before = responses.map(response => response.destroyed);
	controller.abort();
	await left;
	await delay(100);
	expect([before, responses.map(response => response.destroyed), gateway.listener.callsInProgress]).toEqual([[false, false], [true, true], 0]);
});

test('guards against two silent instances that keep a call past its deadline, and against asking a third one', async t => {
	const {gateway, responses} = await startInstances(t, [standStill, standStill, serveWith('third')], {...idempotent, timeoutMs: 1700});
	const startedAt = performance.now();
	const status = readStatus(await sendCall(gateway.address));
	const ms = performance.now() - startedAt;
	await delay(50);
	expect([status, ms >= 1650, ms < 2200, responses.map(response => response.destroyed)]).toEqual([504, true, true, [true, true]]);
});

for (const {answer, behaviour, status} of [
	{answer: 'a refusal', behaviour: refuse, status: 503},
	{answer: 'only a head', behaviour: sendHead, status: 504},
]) {
	test(`guards against a half answer, or a lost refusal, at the deadline of a call whose second instance has sent ${answer}`, async (t: TestContext) => {
		const {gateway} = await startInstances(t, [standStill, behaviour], {...idempotent, timeoutMs: 1000});
		const response = await sendCall(gateway.address);
		expect([readStatus(response), response.isComplete]).toEqual([status, true]);
	});

	test(`guards against a half answer to a call that is aborted while its second instance has sent ${answer}`, async (t: TestContext) => {
		const {gateway} = await startInstances(t, [standStill, behaviour], idempotent);
		const pending = sendCall(gateway.address);
		await delay(1000);
		gateway.listener.abortCalls();
		const response = await pending;
		expect([readStatus(response), response.isComplete]).toEqual([502, true]);
	});
}

test('guards against sending a call that may run once to a second instance', async t => {
	const {gateway, responses} = await startInstances(t, [serveAfterStandstill, serveWith('second')], {kind: 'nonIdempotent'});
	const {body} = await sendCall(gateway.address);
	expect([body, responses.length]).toEqual(['first', 1]);
});

for (const route of [idempotent, stream]) {
	test(`guards against leaving an instance whose answer has begun and pauses (${route.kind})`, async (t: TestContext) => {
		const {gateway, responses} = await startInstances(t, [response => {
			response.writeHead(...headOf(200));
			response.write('fir');
			setTimeout(() => {
				response.end('st');
			}, 1500);
		}, serveWith('second')], route);
		const {body, isComplete} = await sendCall(gateway.address);
		expect([body, isComplete, responses.length]).toEqual(['first', true, 1]);
	});
}

test('guards against a cut connection in place of a refusal when the deadline passes at two instances, of which one has sent a head', async t => {
	const {gateway} = await startInstances(t, [standStill, response => {
		response.writeHead(...headOf(200)).flushHeaders();
	}], {...idempotent, timeoutMs: 1000});
	const answer = await sendCall(gateway.address);
	expect([readStatus(answer), answer.isComplete]).toEqual([504, true]);
});

for (const isBroken of [false, true]) {
	test(`guards against leaving an instance that stands still for one that sends only a comment and ${isBroken ? 'breaks off' : 'is silent'}`, async (t: TestContext) => {
		const {gateway} = await startInstances(t, [serveAfterStandstill, response => {
			response.writeHead(...headOf(200));
			response.write(': ping\n\n');
			setTimeout(() => {
				if (isBroken) {
					response.destroy();
				}
			}, 100);
		}], stream);
		const answer = await sendCall(gateway.address);
		expect([readStatus(answer), answer.body, answer.isComplete]).toEqual([200, 'first', true]);
	});
}
