import type {Socket} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {request} from 'undici';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {findClosedAddress, startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {createOrganisation, createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {sendRawRequest, type RawResponse} from '../../fixtures/send-raw-request/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import type {ForwardingContext} from '../../forwarding/forwarding-context/index.js';
import type {Route} from '../../routing/routing-types/index.js';
import {createFixedRetries} from '../../fixtures/create-fixed-retries/index.js';

type Script = (socket: Socket, id: string, head: string) => void;
type CallResult = {status: number; body: string; runs: number; outcome: string | undefined};

/** Sends one call through a call listener to targets that respond as scripted; `null` stands for a target that refuses connections. */
async function sendCall(route: Partial<Route>, scripts: ReadonlyArray<Script | null>, waitMs = 2000): Promise<CallResult> {
	let runs = 0;
	const servers = await Promise.all(scripts.map(async script => script === null
		? undefined
		: startRawServer((socket, head) => {
			runs += 1;
			script(socket, /x-id: (\S+)/u.exec(head)?.[1] ?? '', head);
		})));
	const descriptions = await Promise.all(servers.map(async (server, index) => createDescription(`t${index}`, {
		address: server?.address ?? await findClosedAddress(), weightsVersions: new Map(),
	})));
	const parts = await startTestGateway(createRoutingConfiguration({routes: [createRoute('r', {host: '127.0.0.1', ...route})]}), descriptions);
	try {
		const answer = await request(`http://${parts.address}/x`, {headers: {'x-id': 'call-1', 'x-wait': String(waitMs)}, method: 'POST', body: 'body'});
		const body = await answer.body.text().catch(() => 'cut');
		return {
			status: answer.statusCode, body, runs, outcome: parts.reports.at(-1)?.outcome,
		};
	} finally {
		parts.close();
		for (const server of servers) {
			server?.close();
		}
	}
}

const answerOk: Script = (socket, id) => {
	socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nContent-Length: 2\r\n\r\nok`);
};

const rejectNotRun: Script = socket => {
	socket.write('HTTP/1.1 503 Full\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n');
};

const closeConnection: Script = socket => {
	socket.destroy();
};

const answerAnotherCall: Script = socket => {
	socket.write('HTTP/1.1 200 OK\r\nx-id: another\r\nContent-Length: 2\r\n\r\nno');
};

test('guards against running a non-idempotent call twice: a lost answer is reported as an unknown outcome', async () => {
	const {status, runs, outcome} = await sendCall({kind: 'nonIdempotent'}, [closeConnection, closeConnection]);
	expect([status, runs, outcome]).toEqual([502, 1, 'outcomeUnknown']);
});

test('repeats an idempotent call whose answer was lost', async () => {
	const {status, body, runs} = await sendCall({}, [answerOk, closeConnection]);
	expect([status, body]).toEqual([200, 'ok']);
	expect(runs <= 2).toEqual(true);
});

test('retries a non-idempotent call at another target when one refuses connections or states that it did not run the call', async () => {
	const refused = await sendCall({kind: 'nonIdempotent'}, [null, answerOk]);
	expect([refused.status, refused.body, refused.runs]).toEqual([200, 'ok', 1]);
	const rejected = await sendCall({kind: 'nonIdempotent'}, [rejectNotRun, rejectNotRun]);
	expect([rejected.status, rejected.outcome]).toEqual([503, 'targetRefused']);
});

test('guards against returning the answer to another call', async () => {
	const {status, runs} = await sendCall({kind: 'nonIdempotent'}, [answerAnotherCall]);
	expect([status, runs]).toEqual([502, 1]);
});

test('guards against a broken stream that looks complete', async () => {
	const {body, outcome} = await sendCall({kind: 'streaming'}, [(socket, id) => {
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\nda\n\r\n`);
		setTimeout(() => {
			socket.destroy();
		}, 20);
	}]);
	expect([body, outcome]).toEqual(['cut', 'streamBroken']);
});

test('resumes a resumable stream at another target after the last complete event', async () => {
	const first: Script = (socket, id) => {
		const events = 'id: 1\ndata: a\n\nid: 2\nda';
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n${events.length.toString(16)}\r\n${events}\r\n`);
		setTimeout(() => {
			socket.destroy();
		}, 20);
	};

	const second: Script = (socket, id, head) => {
		const events = head.includes('last-event-id: 1') ? 'id: 2\ndata: b\n\n' : '';
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nContent-Length: ${events.length}\r\n\r\n${events}`);
	};

	let isFirst = true;
	const scriptInTurn: Script = (socket, id, head) => {
		(isFirst ? first : second)(socket, id, head);
		isFirst = false;
	};

	const {body, runs} = await sendCall({kind: 'streaming', isResumable: true}, [scriptInTurn, scriptInTurn]);
	expect([body, runs]).toEqual(['id: 1\ndata: a\n\nid: 2\ndata: b\n\n', 2]);
});

test('guards against an error answer of the second target that is appended to the broken stream of the first, which then looks complete', async () => {
	let requests = 0;
	const script: Script = (socket, id) => {
		requests += 1;
		if (requests > 1) {
			socket.write(`HTTP/1.1 500 Failed\r\nx-id: ${id}\r\nContent-Length: 6\r\n\r\nfailed`);
			return;
		}

		const events = 'id: 1\ndata: a\n\n';
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n${events.length.toString(16)}\r\n${events}\r\n`);
		setTimeout(() => {
			socket.destroy();
		}, 20);
	};

	const {body, outcome, runs} = await sendCall({kind: 'streaming', isResumable: true}, [script, script]);
	expect([body, outcome, runs]).toEqual(['cut', 'streamBroken', 2]);
});

test('answers with a timeout error when the time limit of the caller or route expires', async () => {
	const {status, outcome} = await sendCall({kind: 'nonIdempotent', timeoutMs: 150}, [() => {
		// The target never answers.
	}]);
	expect([status, outcome]).toEqual([504, 'targetTimeout']);
});

test('guards against serving calls with an unknown or missing key, without a route or without a request id', async () => {
	const parts = await startTestGateway(createRoutingConfiguration({
		routes: [createRoute('r', {host: '127.0.0.1', pathPrefix: '/a/'})], organisations: [createOrganisation('org', {keyHashes: [hashKey('good')]})],
	}), []);
	const send = async (path: string, headers: Record<string, string>) => {
		const answer = await request(`http://${parts.address}${path}`, {headers});
		await answer.body.dump();
		return answer.statusCode;
	};

	expect(await send('/a/', {'x-id': '1', 'x-key': 'bad'})).toEqual(401);
	expect(await send('/a/', {'x-id': '1'})).toEqual(401);
	expect(await send('/b/', {'x-id': '1', 'x-key': 'good'})).toEqual(404);
	expect(await send('/a/', {'x-key': 'good'})).toEqual(400);
	expect(await send('/a/', {'x-id': '1', 'x-key': 'good'})).toEqual(503);
	parts.close();
});

/** Writes the head of an answer that ends with its connection, then `body`, and closes the connection with `close`. */
function answerUnframed(body: string, close: 'end' | 'resetAndDestroy'): Script {
	return (socket, id) => {
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\n${body}`);
		setTimeout(() => {
			socket[close]();
		}, 20);
	};
}

/** Writes the head of an answer that ends with its connection and part of its body, and nothing more. */
function beginUnframed(body: string): Script {
	return (socket, id) => {
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\n${body}`);
	};
}

/** How a call over a plain connection differs from others. */
type RawCallOptions = {
	readonly httpVersion?: string;
	/** Time after which the connections to callers close in order, as the kernel closes those of a killed process. */
	readonly killAfterMs?: number;
	/** Dependencies of the calls that are replaced. */
	readonly changes?: Partial<ForwardingContext>;
};

/** Sends one call over a plain connection; the targets follow `scripts` in the order of their attempts. */
async function sendRawCall(route: Partial<Route>, scripts: readonly Script[], {httpVersion = '1.1', killAfterMs, changes}: RawCallOptions = {}): Promise<RawResponse & {readonly runs: number}> {
	let runs = 0;
	const servers = await Promise.all(scripts.map(async () => startRawServer((socket, head) => {
		const script = scripts[runs];
		runs += 1;
		script?.(socket, /x-id: (\S+)/u.exec(head)?.[1] ?? '', head);
	})));
	const descriptions = servers.map(({address}, index) => createDescription(`t${index}`, {address, weightsVersions: new Map()}));
	const parts = await startTestGateway(createRoutingConfiguration({routes: [createRoute('r', {host: 'h', ...route})]}), descriptions, changes);
	if (killAfterMs !== undefined) {
		setTimeout(() => {
			parts.listener.destroyConnections();
		}, killAfterMs);
	}

	try {
		const response = await sendRawRequest(parts.address, `POST /x HTTP/${httpVersion}\r\nHost: h\r\nx-id: call-1\r\nContent-Length: 4\r\n\r\nbody`);
		return {...response, runs};
	} finally {
		parts.close();
		for (const server of servers) {
			server.close();
		}
	}
}

const resumableStream: Partial<Route> = {kind: 'streaming', isResumable: true};
const plainStream: Partial<Route> = {kind: 'streaming'};
const firstEvent = 'id: 1\ndata: a\n\n';
const secondEvent = 'id: 2\ndata: b\n\n';

const continueAfterFirstEvent: Script = (socket, id, head) => {
	const events = head.includes('last-event-id: 1') ? secondEvent : 'wrong event id';
	answerUnframed(events, 'end')(socket, id, head);
};

for (const close of ['end', 'resetAndDestroy'] as const) {
	test(`guards against an event that is lost or repeated when an answer without length stops inside an event (${close})`, async () => {
		for (const incompleteEvent of ['id: 2\nda', 'id: 2\ndata: b', 'id: 2\ndata: b\n']) {
			const {body, isComplete, runs} = await sendRawCall(resumableStream, [answerUnframed(firstEvent + incompleteEvent, close), continueAfterFirstEvent]);
			expect({body, isComplete, runs}).toEqual({body: firstEvent + secondEvent, isComplete: true, runs: 2});
		}
	});

	test(`guards against a broken stream without length that looks complete on a route that is not resumable (${close})`, async () => {
		const {body, isComplete, runs} = await sendRawCall(plainStream, [answerUnframed(`${firstEvent}id: 2\nda`, close), continueAfterFirstEvent]);
		expect({body: body.startsWith(firstEvent), isComplete, runs}).toEqual({body: true, isComplete: false, runs: 1});
	});

	test(`guards against a resumable stream without length that looks complete although no target finished it (${close})`, async () => {
		const broken = answerUnframed(`${firstEvent}id: 2\nda`, close);
		const {body, isComplete, runs} = await sendRawCall(resumableStream, [broken, answerUnframed('id: 2\ndata', close)]);
		expect({body, isComplete, runs}).toEqual({body: firstEvent, isComplete: false, runs: 2});
	});
}

test('guards against a stream with carriage returns that cannot be resumed', async () => {
	const withCarriageReturns = (text: string) => text.replaceAll('\n', '\r\n');
	const broken = answerUnframed(withCarriageReturns(`${firstEvent}id: 2\ndata: b\n`), 'end');
	const {body, isComplete, runs} = await sendRawCall(resumableStream, [broken, continueAfterFirstEvent]);
	expect({body, isComplete, runs}).toEqual({body: withCarriageReturns(firstEvent) + secondEvent, isComplete: true, runs: 2});
});

test('takes a stream without length for complete when it ends after an event, with any line ends', async () => {
	for (const events of [firstEvent + secondEvent, 'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n', `${firstEvent}: comment\n\n`, `${firstEvent}\n`, '']) {
		for (const route of [plainStream, resumableStream]) {
			const {body, isComplete, runs} = await sendRawCall(route, [answerUnframed(events, 'end')]);
			expect({body, isComplete, runs}).toEqual({body: events, isComplete: true, runs: 1});
		}
	}
});

test('guards against a stream without length that was reset after an event and looks complete', async () => {
	const plain = await sendRawCall(plainStream, [answerUnframed(firstEvent, 'resetAndDestroy')]);
	expect(plain.isComplete).toEqual(false);
	const resumed = await sendRawCall(resumableStream, [answerUnframed(firstEvent, 'resetAndDestroy'), continueAfterFirstEvent]);
	expect([resumed.body, resumed.isComplete]).toEqual([firstEvent + secondEvent, true]);
});

test('guards against an error answer without length on a streaming route that is taken for a broken stream', async () => {
	const failed: Script = (socket, id) => {
		socket.end(`HTTP/1.1 500 Failed\r\nx-id: ${id}\r\n\r\nfailed`);
	};

	for (const route of [plainStream, resumableStream]) {
		const {head, body, isComplete} = await sendRawCall(route, [failed]);
		expect([head.startsWith('HTTP/1.1 500'), body, isComplete]).toEqual([true, 'failed', true]);
	}
});

test('guards against an answer without length to a call that looks complete after a reset', async () => {
	const complete = await sendRawCall({kind: 'nonIdempotent'}, [answerUnframed('{"a":1}', 'end')]);
	expect([complete.body, complete.isComplete]).toEqual(['{"a":1}', true]);
	const reset = await sendRawCall({kind: 'nonIdempotent'}, [answerUnframed('{"a"', 'resetAndDestroy')]);
	expect([reset.isComplete, reset.runs]).toEqual([false, 1]);
});

test('guards against an answer without length that looks complete although a reset arrived together with its last bytes', async () => {
	const resetAtOnce: Script = (socket, id) => {
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\n${firstEvent}`);
		socket.resetAndDestroy();
	};

	for (const kind of ['nonIdempotent', 'streaming'] as const) {
		const {isComplete, runs} = await sendRawCall({kind}, [resetAtOnce]);
		expect([isComplete, runs]).toEqual([false, 1]);
	}

	const repeated = await sendRawCall({}, [resetAtOnce, answerUnframed('whole', 'end')]);
	expect([repeated.body, repeated.isComplete, repeated.runs]).toEqual(['whole', true, 2]);
	const resumed = await sendRawCall(resumableStream, [resetAtOnce, continueAfterFirstEvent]);
	expect([resumed.body, resumed.isComplete, resumed.runs]).toEqual([firstEvent + secondEvent, true, 2]);
});

test('guards against an answer without length to an idempotent call that is returned in part after a reset', async () => {
	const repeated = await sendRawCall({}, [answerUnframed('{"a"', 'resetAndDestroy'), answerUnframed('{"a":1}', 'end')]);
	expect([repeated.body, repeated.isComplete, repeated.runs]).toEqual(['{"a":1}', true, 2]);
	const large = await sendRawCall({}, [answerUnframed('x'.repeat(300 * 1024), 'resetAndDestroy')]);
	expect(large.isComplete).toEqual(false);
});

test('guards against a broken stream that looks complete to a caller of HTTP/1.0, whose answers have no chunks', async () => {
	const {isComplete, head} = await sendRawCall(plainStream, [(socket, id) => {
		socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\nda\n\r\n`);
		setTimeout(() => {
			socket.destroy();
		}, 20);
	}], {httpVersion: '1.0'});
	expect([isComplete, head.toLowerCase().includes('transfer-encoding')]).toEqual([false, false]);
});

for (const httpVersion of ['1.0', '1.1']) {
	test(`guards against an answer without length that looks complete when its instance is killed (HTTP/${httpVersion})`, async () => {
		for (const route of [{kind: 'nonIdempotent'}, plainStream, resumableStream] as const) {
			const {isComplete} = await sendRawCall(route, [beginUnframed(firstEvent)], {httpVersion, killAfterMs: 100});
			expect(isComplete).toEqual(false);
			const whole = await sendRawCall(route, [answerUnframed(firstEvent + secondEvent, 'end')], {httpVersion});
			expect([whole.body, whole.isComplete]).toEqual([firstEvent + secondEvent, true]);
		}
	});
}

/** Sends one event, is silent for longer than a stream may stall, and goes on to the end. */
const pauseWithinStream: Script = (socket, id) => {
	socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n${firstEvent.length.toString(16)}\r\n${firstEvent}\r\n`);
	setTimeout(() => {
		socket.write(`${secondEvent.length.toString(16)}\r\n${secondEvent}\r\n0\r\n\r\n`);
	}, 1600);
};

test('guards against breaking a silent stream off when no retry is left that could continue it elsewhere', async () => {
	const emptyBudget = createFixedRetries(0);
	for (const [route, changes] of [
		[resumableStream, {findRetryBudget: () => emptyBudget}],
		[{...resumableStream, maximumAttempts: 1}, {}],
	] as const) {
		const {body, isComplete, runs} = await sendRawCall({...route, timeoutMs: 5000}, [pauseWithinStream, continueAfterFirstEvent], {changes});
		expect({body, isComplete, runs}).toEqual({body: firstEvent + secondEvent, isComplete: true, runs: 1});
	}
});
