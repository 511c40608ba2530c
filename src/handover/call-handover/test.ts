import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {request} from 'undici';
import {SystemClock} from '../../clock/clock/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createMember} from '../../fixtures/create-member/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {findClosedAddress, startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {listenLocally} from '../../http/listen-locally/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import type {CallKind} from '../../routing/routing-types/index.js';
import {
	cutOffHeader, priorRequestsHeader, remainingHeader, servedHeader,
} from '../handover-headers/index.js';
import {CallHandover} from './index.js';

type Handler = (message: IncomingMessage, response: ServerResponse) => void;

/** Starts an instance that reaches no target, and others that serve the calls it passes on as the handlers say. */
async function startCutOffInstance(t: TestContext, handlers: readonly Handler[], kind: CallKind = 'nonIdempotent', isCutOff = true, timeoutMs = 3000) {
	const servers = handlers.map(handle => createServer(handle));
	const peers: Member[] = [];
	for (const [index, server] of servers.entries()) {
		peers.push(createMember(`i${index}`, {peerAddress: await listenLocally(server)}));
	}

	const refusing: string[] = [];
	const silent: string[] = [];
	const clock = new SystemClock();
	const handover = new CallHandover({
		self: 'self' as InstanceId, clock, logger: quietLogger, random: new RandomSource(1),
		reachability: {
			isCutOff, canConnect: !isCutOff, shouldHandOver: () => isCutOff, settle: async () => undefined,
		},
		peers: {
			list: () => peers.filter(({id}) => !silent.includes(id)),
			isMember: () => true,
			recordCutOff(id) {
				refusing.push(id);
			},
			recordSilent(id) {
				silent.push(id);
			},
		},
	});
	const route = createRoute('r', {host: '127.0.0.1', kind, timeoutMs});
	const targets = [createDescription('t0', {address: await findClosedAddress(), weightsVersions: new Map()})];
	const gateway = await startTestGateway(createRoutingConfiguration({routes: [route]}), targets, {}, handover);
	t.after(() => {
		gateway.close();
		for (const server of servers) {
			server.closeAllConnections();
			server.close();
		}
	});
	return {
		gateway, refusing, handover,
		async call(body = 'body') {
			const answer = await request(`http://${gateway.address}/x?y=1`, {method: 'POST', headers: {'x-id': 'c1', 'x-wait': '2000'}, body});
			const text = await answer.body.text().then(read => read, () => 'cut');
			return {status: answer.statusCode, text, headers: answer.headers};
		},
	};
}

test('guards against a call that is changed on the way, or told another time than its caller waits', async t => {
	const received: unknown[] = [];
	const {call} = await startCutOffInstance(t, [(message, response) => {
		const chunks: Buffer[] = [];
		message.on('data', (chunk: Buffer) => {
			chunks.push(chunk);
		});
		message.on('end', () => {
			const remainingMs = Number(message.headers[remainingHeader]);
			received.push([message.method, message.url, message.headers['x-id'], message.headers['x-laburnumturn-to'], remainingMs > 1500 && remainingMs <= 2000, Buffer.concat(chunks).toString()]);
			response.writeHead(418, {'x-own': 'a', [servedHeader]: 'true'}).end('answer');
		});
	}]);
	const {status, text, headers} = await call();
	expect([status, text, headers['x-own'], headers[servedHeader]]).toEqual([418, 'answer', 'a', undefined]);
	expect(received).toEqual([['POST', '/x?y=1', 'c1', 'i0', true, 'body']]);
});

test('guards against asking only one instance when it is cut off as well, and against asking for ever', async t => {
	let asked = 0;
	const refuse: Handler = (_message, response) => {
		asked += 1;
		response.writeHead(503, {[cutOffHeader]: 'true'}).end();
	};

	const {call, refusing, handover} = await startCutOffInstance(t, [refuse, refuse, (_message, response) => {
		response.writeHead(200, {[servedHeader]: 'true'}).end('served');
	}]);
	const served = await call();
	expect(served.text).toEqual('served');
	const others = await startCutOffInstance(t, [refuse, refuse, refuse, refuse, refuse]);
	asked = 0;
	const {status, text, headers} = await others.call();
	expect([status, asked, text.includes('"not_run":true'), headers['x-not-run']]).toEqual([503, 3, true, 'true']);
	expect([others.refusing.length, refusing.length <= 2, handover.gauges.calls_handed_over.read()]).toEqual([3, true, 1]);
});

test('guards against running a call twice when the instance that took it over sends no answer', async t => {
	let runs = 0;
	const lose: Handler = message => {
		runs += 1;
		message.socket.destroy();
	};

	const {call} = await startCutOffInstance(t, [lose, lose, lose]);
	const {status} = await call();
	expect([status, runs]).toEqual([502, 1]);
});

test('guards against an answer that broke off on the way and looks complete', async t => {
	const {call} = await startCutOffInstance(t, [(_message, response) => {
		response.writeHead(200, {[servedHeader]: 'true'});
		response.write('part');
		setTimeout(() => {
			response.destroy();
		}, 50);
	}]);
	const {text} = await call();
	expect(text).toEqual('cut');
});

test('guards against callers who get the answer of an instance of an earlier release, which knows no calls that are passed on', async t => {
	const refuse: Handler = (_message, response) => {
		response.writeHead(400).end('no such method');
	};

	const {call} = await startCutOffInstance(t, [refuse, refuse]);
	const {status, headers} = await call();
	expect([status, headers['x-not-run']]).toEqual([503, 'true']);
});

test('guards against a call that goes on at another instance after its caller has left', async t => {
	let closed = 0;
	const {gateway} = await startCutOffInstance(t, [(_message, response) => {
		response.once('close', () => {
			closed += 1;
		});
	}]);
	const controller = new AbortController();
	const left = request(`http://${gateway.address}/x`, {
		method: 'POST', headers: {'x-id': 'c1'}, body: 'b', signal: controller.signal,
	}).then(() => 'answered', () => 'left');
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	controller.abort();
	expect(await left).toEqual('left');
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	expect([closed, gateway.listener.callsInProgress]).toEqual([1, 0]);
});

test('guards against a call that was passed on and is passed on again', async t => {
	const {gateway} = await startCutOffInstance(t, [(_message, response) => {
		response.writeHead(200, {[servedHeader]: 'true'}).end('served');
	}]);
	const server = createServer((message, response) => {
		gateway.listener.serveHandedOver(message, response);
	});
	const address = await listenLocally(server);
	t.after(() => {
		server.closeAllConnections();
		server.close();
	});
	const answer = await request(`http://${address}/x`, {method: 'POST', headers: {'x-id': 'c1', [remainingHeader]: '500'}, body: 'b'});
	await answer.body.dump();
	expect([answer.statusCode, answer.headers[cutOffHeader], answer.headers[servedHeader]]).toEqual([503, 'true', undefined]);
});

test('guards against a handover while only one target is down', async t => {
	let asked = 0;
	const {call} = await startCutOffInstance(t, [(_message, response) => {
		asked += 1;
		response.writeHead(200, {[servedHeader]: 'true'}).end('served');
	}], 'nonIdempotent', false);
	const {status} = await call();
	expect([status, asked]).toEqual([503, 0]);
});

test('guards against an answer that looks complete when an instance of an earlier release, which passes it on without length, is killed', async t => {
	const {call} = await startCutOffInstance(t, [(_message, response) => {
		response.useChunkedEncodingByDefault = false;
		response.shouldKeepAlive = false;
		response.writeHead(200, {[servedHeader]: 'true'}).end('part');
	}]);
	const {text} = await call();
	expect(text).toEqual('cut');
});

/** An instance that stands still: its kernel accepts connections, and nothing is answered. */
const standStill: Handler = () => {
	// No answer follows.
};

const serve: Handler = (_message, response) => {
	response.writeHead(200, {[servedHeader]: 'true'}).end('served');
};

async function measureMs<Result>(run: () => Promise<Result>): Promise<{readonly result: Result; readonly ms: number}> {
	const startedAt = performance.now();
	const result = await run();
	return {result, ms: performance.now() - startedAt};
}

test('guards against a call that is never answered because the instance that took it over stands still', async t => {
	const {call, gateway} = await startCutOffInstance(t, [standStill], 'nonIdempotent', true, 800);
	const {result, ms} = await measureMs(async () => call());
	expect([result.status, ms >= 750, ms < 1250, gateway.listener.callsInProgress]).toEqual([504, true, true, 0]);
});

test('guards against a repeatable call that waits for an instance that stands still while another one could serve it', async t => {
	const {call} = await startCutOffInstance(t, [standStill, serve], 'idempotent');
	const first = await measureMs(async () => call());
	const second = await measureMs(async () => call());
	expect([first.result.text, second.result.text, Math.max(first.ms, second.ms) < 1500]).toEqual(['served', 'served', true]);
});

test('guards against a second instance that is not told of the request that the silent first one may send', async t => {
	const prior: unknown[] = [];
	const record = (handle: Handler): Handler => (message, response) => {
		if (message.method === 'POST') {
			prior.push(message.headers[priorRequestsHeader]);
		}

		handle(message, response);
	};

	const {call} = await startCutOffInstance(t, [record(standStill), record(standStill)], 'idempotent', true, 1500);
	await call();
	expect(prior).toEqual(['0', '1']);
});

test('guards against calls that go to an instance that has answered nothing a moment before', async t => {
	let received = 0;
	const count: Handler = ({method}) => {
		received += method === 'POST' ? 1 : 0;
	};

	const {call} = await startCutOffInstance(t, [count, serve], 'idempotent');
	await Promise.all(Array.from({length: 4}, async () => call()));
	const receivedBefore = received;
	await Promise.all(Array.from({length: 8}, async () => call()));
	expect([receivedBefore > 0, received]).toEqual([true, receivedBefore]);
});

test('guards against leaving an instance that is slow with a call but answers others', async t => {
	let runs = 0;
	const slow: Handler = (message, response) => {
		if (message.method === 'GET') {
			response.writeHead(400).end();
			return;
		}

		runs += 1;
		setTimeout(() => {
			serve(message, response);
		}, 1000);
	};

	const {call} = await startCutOffInstance(t, [slow, slow], 'idempotent');
	const {text} = await call();
	expect([text, runs]).toEqual(['served', 1]);
});

test('guards against an answer that stays open for ever when its instance goes silent within it', async t => {
	const {call, gateway} = await startCutOffInstance(t, [(_message, response) => {
		response.writeHead(200, {[servedHeader]: 'true'});
		response.write('part');
	}], 'nonIdempotent', true, 800);
	const {result, ms} = await measureMs(async () => call());
	expect([result.text, ms < 1250, gateway.listener.callsInProgress]).toEqual(['cut', true, 0]);
});
