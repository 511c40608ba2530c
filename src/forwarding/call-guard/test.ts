import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {request} from 'undici';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createOrganisation, createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import type {Route} from '../../routing/routing-types/index.js';
import type {PromptGuard} from '../prompt-guard/index.js';
import type {RequestGuard} from '../request-guard/index.js';

/** Answers one request; `requestNumber` counts the requests at all targets, from 1. */
type Script = (socket: Socket, id: string, requestNumber: number) => void;

/** Creates a guard that records what calls report. As it is told, it rejects prompts with the part `culprit`, gives them trials, and suspects all others. */
function createGuard() {
	const state = {
		isQuarantined: false, isOnProbation: false, hasTrials: false, isSuspicious: false, log: [] as string[], unanswered: [] as string[],
	};
	const guard: PromptGuard = {
		findRejection(work, hasTrial) {
			const isRejected = state.isQuarantined || (state.isOnProbation && !hasTrial);
			return isRejected && work.parts.some(({id}) => id === 'culprit') ? {part: 'culprit', remainingMs: 90_500} : undefined;
		},
		beginTrial: async () => state.hasTrials,
		isSuspicious: () => state.isSuspicious,
		recordBrokenAnswer(_work, target) {
			state.log.push(`broken ${target.description.id}`);
		},
		recordBrokenConnection(_work, target) {
			state.unanswered.push(target.description.id);
		},
		recordCompleteAnswer() {
			state.log.push('complete');
		},
	};
	return {state, guard};
}

/** Starts a call listener with a guard and a quota before four targets that answer as scripted, the first `closedTargets` of which refuse connections. */
async function startTargets(t: TestContext, route: Partial<Route>, script: Script, requestGuard?: RequestGuard, closedTargets = 0) {
	let requests = 0;
	const charges: number[] = [];
	const servers = await Promise.all([0, 1, 2, 3].map(async () => startRawServer((socket, head) => {
		requests += 1;
		script(socket, /x-id: (\S+)/u.exec(head)?.[1] ?? '', requests);
	})));
	const descriptions = servers.map(({address}, index) => createDescription(`t${index}`, {address}));
	for (const server of servers.slice(0, closedTargets)) {
		server.close();
	}

	const quota = {
		tokensPerSecond: 1, burstTokens: 1, plainCallTokens: 200, countsTokens: true,
	};
	const configuration = createRoutingConfiguration({
		routes: [createRoute('r', {host: '127.0.0.1', maximumAttempts: 4, ...route})], organisations: [createOrganisation('o', {keyHashes: [hashKey('key')], quota})],
	});
	const {state, guard} = createGuard();
	const gateway = await startTestGateway(configuration, descriptions, {
		promptGuard: guard, ...(requestGuard && {requestGuard}),
		quota: {
			async charge(_organisation, tokens) {
				charges.push(tokens);
				return true;
			},
			refund(_organisation, tokens) {
				charges.push(-tokens);
			},
		},
	});
	t.after(() => {
		gateway.close();
		for (const server of servers) {
			server.close();
		}
	});
	return {
		state, charges,
		countRequests: () => requests,
		async call(id: string, parts = 'root,culprit,own', waitMs = 2000, signal?: AbortSignal) {
			const answer = await request(`http://${gateway.address}/x`, {
				headers: {
					'x-id': id, 'x-key': 'key', ...(parts !== '' && {'x-parts': parts}), 'x-wait': String(waitMs),
				}, method: 'POST', body: 'body', signal,
			});
			const body = await answer.body.text().catch(() => 'cut');
			return {status: answer.statusCode, isNotRun: answer.headers['x-not-run'] === 'true', body};
		},
	};
}

const startStream = (id: string) => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`;
const formatChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const formatEvent = (id: number) => formatChunk(`id: ${id}\ndata: x\n\n`);
const formatAnswer = (id: string, status = '200 OK') => `HTTP/1.1 ${status}\r\nx-id: ${id}\r\nContent-Length: 2\r\n\r\nok`;
const lastChunk = '0\r\n\r\n';
const resumable: Partial<Route> = {kind: 'streaming', isResumable: true};

/** Begins to answer and breaks the connection a little later. */
function crash(socket: Socket, id: string): void {
	socket.write(startStream(id) + formatEvent(1));
	setTimeout(() => {
		socket.destroy();
	}, 20);
}

test('rejects a call with a quarantined part as not run, before it is charged or sent, and no others', async t => {
	const {state, charges, call, countRequests} = await startTargets(t, {}, (socket, id) => {
		socket.write(formatAnswer(id));
	});
	state.isQuarantined = true;
	const {status, isNotRun, body} = await call('c1');
	expect([status, isNotRun, body.includes('3008')]).toEqual([503, true, true]);
	expect([countRequests(), charges]).toEqual([0, []]);
	const {status: otherStatus} = await call('c2', 'root,other,own');
	expect([otherStatus, countRequests(), charges]).toEqual([200, 1, [110]]);
});

test('guards against a retry that reaches an engine after a part of the prompt was quarantined', async t => {
	const {state, call, countRequests} = await startTargets(t, {kind: 'idempotent'}, (socket, id) => {
		state.isQuarantined = true;
		crash(socket, id);
	});
	const {status, isNotRun} = await call('c1');
	expect([status, isNotRun, countRequests()]).toEqual([502, false, 1]);
});

test('guards against a trial of a part on probation that reaches a second engine, and rejects calls without a trial as not run', async t => {
	const {state, call, countRequests} = await startTargets(t, {kind: 'idempotent'}, (socket, id) => {
		crash(socket, id);
	});
	state.isOnProbation = true;
	const {status, isNotRun} = await call('c1');
	expect([status, isNotRun, countRequests()]).toEqual([503, true, 0]);
	state.hasTrials = true;
	const {status: trialStatus} = await call('c2');
	expect([trialStatus, countRequests()]).toEqual([502, 1]);
});

test('guards against a trial that is lost to a target which refuses the connection, so that sound calls wait for the next one', async t => {
	const targets = await startTargets(t, {kind: 'idempotent'}, (socket, id) => {
		socket.write(formatAnswer(id));
	}, undefined, 1);
	targets.state.isOnProbation = true;
	targets.state.hasTrials = true;
	const {status} = await targets.call('c1');
	expect([status, targets.countRequests()]).toEqual([200, 1]);
});

test('guards against a waiting call that is sent after a part of its prompt was quarantined', async t => {
	const {state, charges, call, countRequests} = await startTargets(t, {latencyGoalMs: 2000}, (socket, id) => {
		socket.write(formatAnswer(id, '503 Busy').replace('x-id', 'x-not-run: true\r\nx-id'));
		state.isQuarantined = true;
	});
	const {status, isNotRun} = await call('c1');
	expect([status, isNotRun, countRequests(), charges]).toEqual([503, true, 1, [110, -110]]);
});

for (const kind of ['idempotent', 'streaming'] as const) {
	test(`guards against a call of kind ${kind} that crashes one engine after another: it is not sent again once a part of it is suspicious`, async t => {
		const {state, call, countRequests} = await startTargets(t, {kind, isResumable: kind === 'streaming'}, (socket, id, requestNumber) => {
			state.isSuspicious = requestNumber === 2;
			crash(socket, id);
		});
		await call('c1');
		expect([countRequests(), state.log.length]).toEqual([2, 2]);
	});
}

test('guards against sound calls that lose their retries: only a call whose own answer broke off is withheld', async t => {
	const {state, call, countRequests} = await startTargets(t, {kind: 'idempotent'}, (socket, id, requestNumber) => {
		if (requestNumber === 1) {
			socket.destroy();
		} else {
			socket.write(formatAnswer(id));
		}
	});
	state.isSuspicious = true;
	const {status} = await call('c1');
	expect([status, countRequests(), state.log]).toEqual([200, 2, ['complete']]);
});

for (const [name, script, expected] of [
	['a stream whose connection breaks', crash, ['broken']],
	['a complete answer', (socket, id) => {
		socket.write(startStream(id) + formatEvent(1) + lastChunk);
	}, ['complete']],
	['a complete answer with an error', (socket, id) => {
		socket.write(formatAnswer(id, '400 Bad Request'));
	}, []],
	['an error answer that breaks off', (socket, id) => {
		socket.end(formatAnswer(id, '500 Error').slice(0, -1));
	}, []],
	['a connection that breaks before the answer', socket => {
		socket.destroy();
	}, []],
	['an answer without a length or chunks', (socket, id) => {
		socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\nid: 1\ndata: x\n\n`);
	}, []],
	['bytes that are not HTTP', (socket, id) => {
		socket.write(startStream(id) + formatEvent(1));
		setTimeout(() => {
			socket.write('no chunk\r\n');
		}, 20);
	}, []],
	['silence until the deadline', (socket, id) => {
		socket.write(startStream(id) + formatEvent(1));
	}, []],
] as ReadonlyArray<readonly [string, Script, readonly string[]]>) {
	test(`records as evidence what shows a crash or its opposite: ${name}`, async t => {
		const {state, call} = await startTargets(t, {kind: 'streaming'}, script);
		await call('c1', 'root,culprit,own', 500);
		expect(state.log.map(entry => entry.split(' ')[0])).toEqual([...expected]);
	});
}

test('guards against evidence from a caller that leaves', async t => {
	const {state, call} = await startTargets(t, resumable, (socket, id) => {
		socket.write(startStream(id) + formatEvent(1));
	});
	const {status, body} = await call('c1', 'root,culprit,own', 2000, AbortSignal.timeout(100));
	await delay(100);
	expect([status, body, state.log]).toEqual([200, 'cut', []]);
});

test('guards against answers without length that never clear a part: they count once their target goes on to answer', async t => {
	const {state, call} = await startTargets(t, {kind: 'streaming'}, (socket, id, requestNumber) => {
		if (requestNumber === 1) {
			socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\nid: 1\ndata: x\n\n`);
		} else {
			socket.write(startStream(id) + formatEvent(1) + lastChunk);
		}
	});
	await call('c1');
	expect(state.log).toEqual([]);
	await delay(200);
	for (const id of ['c2', 'c3', 'c4', 'c5', 'c6', 'c7', 'c8']) {
		await call(id, 'root,other,own');
	}

	expect(state.log).toEqual(Array.from({length: 7}, () => 'complete'));
	await delay(1600);
	expect(state.log.length).toEqual(8);
});

/** Creates a guard of whole requests that records what calls report, and rejects and tries requests as it is told. */
function createRequestGuard() {
	const state = {
		isQuarantined: false, isTrialGranted: false, isSuspicious: false, log: [] as string[],
	};
	const requestGuard: RequestGuard = {
		findRejection: readKey => state.isQuarantined ? {request: readKey(), remainingMs: 9500} : undefined,
		beginTrial: async () => state.isTrialGranted,
		recordTrialSent() {
			state.log.push('trial');
		},
		isSuspicious: () => state.isSuspicious,
		recordBrokenConnection(_readKey, target) {
			state.log.push(`broken ${target.description.id}`);
		},
		recordCompleteAnswer() {
			state.log.push('complete');
		},
	};
	return {state, requestGuard};
}

test('rejects a call without a prompt whose request is quarantined, as not run, before it is charged or sent', async t => {
	const {state, requestGuard} = createRequestGuard();
	const {charges, call, countRequests} = await startTargets(t, {kind: 'idempotent'}, (socket, id) => {
		socket.write(formatAnswer(id));
	}, requestGuard);
	state.isQuarantined = true;
	const {status, isNotRun, body} = await call('c1', '');
	expect([status, isNotRun, body.includes('3010'), countRequests(), charges]).toEqual([503, true, true, 0, []]);
});

test('guards against a crash before the head that nobody learns of, and against a repeat of a suspicious request', async t => {
	const {state, requestGuard} = createRequestGuard();
	const {call, countRequests} = await startTargets(t, {kind: 'idempotent'}, socket => {
		state.isSuspicious = true;
		socket.destroy();
	}, requestGuard);
	const {status, isNotRun} = await call('c1', '');
	expect([status, isNotRun, countRequests(), state.log.length, state.log[0]?.startsWith('broken')]).toEqual([502, false, 1, 1, true]);
});

test('sends a trial to one target, whatever becomes of it', async t => {
	const {state, requestGuard} = createRequestGuard();
	const {call, countRequests} = await startTargets(t, {kind: 'idempotent'}, (socket, id) => {
		socket.write(formatAnswer(id, '503 Busy').replace('x-id', 'x-not-run: true\r\nx-id'));
	}, requestGuard);
	Object.assign(state, {isQuarantined: true, isTrialGranted: true});
	const {status, isNotRun} = await call('c1', '');
	expect([status, isNotRun, countRequests(), state.log]).toEqual([503, true, 1, ['trial']]);
});

test('any complete answer of a target shows that the request does not crash it, also an error', async t => {
	const {state, requestGuard} = createRequestGuard();
	const {call} = await startTargets(t, {kind: 'nonIdempotent'}, (socket, id) => {
		socket.write(formatAnswer(id, '500 Failed'));
	}, requestGuard);
	await call('c1', '');
	expect(state.log).toEqual(['complete']);
});

test('guards against a connection that breaks before an answer and that no guard of prompts hears of', async t => {
	const {state, call} = await startTargets(t, {kind: 'nonIdempotent'}, socket => {
		socket.destroy();
	});
	await call('c1');
	expect([state.unanswered.length, state.log]).toEqual([1, []]);
});
