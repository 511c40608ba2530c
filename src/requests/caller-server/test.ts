import {test} from 'node:test';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {request} from 'undici';
import {createRouterError} from '../../results/create-router-error/index.js';
import {callCompletion} from '../../standin/call-completion/index.js';
import {waitFor} from '../../standin/wait-for/index.js';
import {LocalFleet, localSecret, type LocalFleetOptions} from '../../standin/local-fleet/index.js';

const authorizationLine = `authorization: Bearer ${localSecret}\r\n`;
const limits = {
	bodyBytes: 2048, headerBytes: 2048, connections: 6, receiveTimeoutMs: 200,
};

async function runWithFleet(run: (fleet: LocalFleet) => Promise<void>, options: LocalFleetOptions = {}): Promise<void> {
	const fleet = await new LocalFleet({engines: 1, limits, ...options}).start();
	try {
		await run(fleet);
	} finally {
		await fleet.stop();
	}
}

async function openSocket(fleet: LocalFleet): Promise<Socket> {
	const [host, port] = fleet.address.split(':');
	const socket = connect({port: Number(port), host, allowHalfOpen: true});
	await once(socket, 'connect');
	return socket;
}

async function readResponseText(socket: Socket): Promise<string> {
	const receivedChunks: Buffer[] = [];
	socket.on('data', chunk => {
		receivedChunks.push(chunk);
	});
	socket.on('error', () => {
		receivedChunks.push(Buffer.from('(connection reset)'));
	});
	const readText = () => Buffer.concat(receivedChunks).toString('utf8');
	// A connection may stay open after the response, so the end of the error's JSON also ends the read.
	for (let elapsedMs = 0; elapsedMs < 3000 && !socket.readableEnded && !socket.destroyed && !readText().endsWith('}}'); elapsedMs += 10) {
		await delay(10);
	}

	socket.destroy();
	return readText();
}

/** Returns status, error type and result headers of the last response in `text`. */
function parseLastResponse(text: string): {status: number; type: string; hasCode: boolean; notRun: boolean} {
	const start = text.lastIndexOf('HTTP/1.1 ');
	const [head, body] = text.slice(start).split('\r\n\r\n');
	const error = /"type":"(\w+)"/u.exec(body ?? '');
	return {
		status: Number(/^HTTP\/1.1 (\d+)/u.exec(head ?? '')?.[1] ?? 0), type: error?.[1] ?? '',
		hasCode: /x-result-code: \d+/iu.test(head ?? ''), notRun: /x-not-run: true/iu.test(head ?? ''),
	};
}

type Scenario = {readonly badInput: string; readonly sent: string; readonly shouldHalfClose?: boolean; readonly status: number; readonly type: string};

const completionHead = `POST /v1/completions HTTP/1.1\r\nhost: a\r\n${authorizationLine}`;
const scenarios: Scenario[] = [
	{
		badInput: 'bytes that are not HTTP', sent: 'this is not HTTP\r\n\r\n', status: 400, type: 'malformedRequest',
	},
	{
		badInput: 'headers over the size limit', sent: `GET /v1/models HTTP/1.1\r\nhost: a\r\nx-long: ${'x'.repeat(4000)}\r\n\r\n`, status: 431, type: 'headersTooLarge',
	},
	{
		badInput: 'more headers than the limit, of which Node would silently drop some', status: 431, type: 'headersTooLarge',
		sent: `GET /v1/models HTTP/1.1\r\nhost: a\r\n${'a: b\r\n'.repeat(150)}${authorizationLine}\r\n`,
	},
	{
		badInput: 'a content length over the limit', sent: `${completionHead}content-length: 5000\r\n\r\n`, status: 413, type: 'bodyTooLarge',
	},
	{
		badInput: 'a chunked body over the limit', sent: `${completionHead}transfer-encoding: chunked\r\n\r\n1388\r\n${'x'.repeat(5000)}\r\n`, status: 413, type: 'bodyTooLarge',
	},
	{
		badInput: 'an Expect: 100-continue request with a body over the limit', sent: `${completionHead}expect: 100-continue\r\ncontent-length: 5000\r\n\r\n`, status: 413, type: 'bodyTooLarge',
	},
	{
		badInput: 'headers that are never completed', sent: 'POST /v1/completions HTTP/1.1\r\nhost: a\r\n', status: 408, type: 'requestTimeout',
	},
	{
		badInput: 'a body that is never completed', sent: `${completionHead}content-length: 100\r\n\r\n{"model"`, status: 408, type: 'requestTimeout',
	},
	{
		badInput: 'a connection that is half-closed in the middle of the body', sent: `${completionHead}content-length: 100\r\n\r\n{"model"`, shouldHalfClose: true, status: 400, type: 'malformedRequest',
	},
	{
		badInput: 'an invalid path', sent: `GET // HTTP/1.1\r\nhost: a\r\n${authorizationLine}\r\n`, status: 400, type: 'malformedRequest',
	},
	{
		badInput: 'a CONNECT request', sent: 'CONNECT a:80 HTTP/1.1\r\nhost: a\r\n\r\n', status: 405, type: 'methodNotAllowed',
	},
	{
		badInput: 'an unsupported Expect header', sent: `${completionHead}expect: tea\r\ncontent-length: 0\r\n\r\n`, status: 400, type: 'malformedRequest',
	},
	{
		badInput: 'a body that is not JSON', sent: `${completionHead}content-length: 1\r\n\r\n{`, status: 400, type: 'malformedRequest',
	},
	{
		badInput: 'a body that is nested too deeply', sent: `${completionHead}content-length: 1000\r\n\r\n${'['.repeat(500)}${']'.repeat(500)}`, status: 400, type: 'malformedRequest',
	},
];

for (const {badInput, sent, shouldHalfClose, status, type} of scenarios) {
	test(`guards against a missing or unclear error, or a disturbed concurrent call, after ${badInput}`, async () => {
		await runWithFleet(async fleet => {
			const concurrentCall = callCompletion({
				address: fleet.address, secret: localSecret, prompt: 'undisturbed', maximumTokens: 50,
			});
			const socket = await openSocket(fleet);
			socket.write(sent);
			if (shouldHalfClose ?? false) {
				socket.end();
			}

			expect(parseLastResponse(await readResponseText(socket))).toEqual({
				status, type, hasCode: true, notRun: true,
			});
			const {isComplete} = await concurrentCall;
			expect(isComplete).toEqual(true);
		});
	});
}

test('guards against a completion whose body contains the API key', async () => {
	await runWithFleet(async fleet => {
		const outcome = await callCompletion({
			address: fleet.address, secret: localSecret, prompt: 'a', body: {user: localSecret},
		});
		expect({status: outcome.status, notRun: outcome.error?.not_run}).toEqual({status: 400, notRun: true});
	});
});

test('guards against connections over the limit that get no response or displace open ones', async () => {
	await runWithFleet(async fleet => {
		const sockets = await Promise.all(Array.from({length: limits.connections}, async () => openSocket(fleet)));
		const surplus = await openSocket(fleet);
		surplus.write(`POST /payments/pay HTTP/1.1\r\nhost: a\r\n${authorizationLine}x-call-id: surplus\r\ncontent-length: 0\r\n\r\n`);
		const text = await readResponseText(surplus);
		expect(parseLastResponse(text)).toEqual({
			status: 503, type: 'overloaded', hasCode: true, notRun: true,
		});
		expect(/retry-after: \d+/iu.test(text)).toEqual(true);
		expect(fleet.services.map(service => service.runs.get('surplus'))).toEqual([undefined, undefined]);
		sockets[0]!.write(`GET /v1/models HTTP/1.1\r\nhost: a\r\n${authorizationLine}connection: close\r\n\r\n`);
		expect(parseLastResponse(await readResponseText(sockets[0]!)).status).toEqual(200);
		for (const socket of sockets) {
			socket.destroy();
		}
	});
});

for (const trailingBytes of ['garbage\r\n\r\n', `${completionHead}content-length: 9\r\n\r\n{`]) {
	test(`guards against "${trailingBytes.slice(0, 7)}" that follows a request and corrupts its response`, async () => {
		await runWithFleet(async fleet => {
			const socket = await openSocket(fleet);
			const body = JSON.stringify({
				model: 'assistant', prompt: 'whole', stream: true, max_tokens: 400,
			});
			socket.write(`${completionHead}content-length: ${body.length}\r\n\r\n${body}`);
			await once(socket, 'readable');
			socket.write(trailingBytes);
			const text = await readResponseText(socket);
			expect([text.includes('[DONE]'), text.slice(0, text.indexOf('[DONE]')).split('HTTP/1.1 ').length]).toEqual([true, 2]);
		});
	});
}

/** Sends a completion whose answer takes about 0.5 s, and waits until its engine runs it; a stream has begun then. */
async function beginCompletion(fleet: LocalFleet, isStreamed: boolean): Promise<Socket> {
	const socket = await openSocket(fleet);
	const body = JSON.stringify({
		model: 'assistant', prompt: 'half', stream: isStreamed, max_tokens: 500,
	});
	socket.write(`${completionHead}content-length: ${body.length}\r\n\r\n${body}`);
	await (isStreamed ? once(socket, 'readable') : waitFor(() => fleet.engines[0]!.runs.size > 0));
	return socket;
}

for (const isStreamed of [false, true]) {
	const name = isStreamed ? 'stream' : 'whole response';

	test(`guards against a caller that half-closes the connection after its request and gets no answer (${name})`, async () => {
		await runWithFleet(async fleet => {
			const socket = await beginCompletion(fleet, isStreamed);
			socket.end();
			const text = await readResponseText(socket);
			expect([text.includes('HTTP/1.1 200 OK'), text.includes(isStreamed ? 'data: [DONE]' : '"finish_reason":"length"')]).toEqual([true, true]);
			expect(fleet.engines[0]!.cancellations).toEqual(0);
		});
	});

	test(`guards against an engine that works on for a caller that has left (${name})`, async () => {
		await runWithFleet(async fleet => {
			const socket = await beginCompletion(fleet, isStreamed);
			socket.destroy();
			await waitFor(() => fleet.engines[0]!.cancellations > 0);
			expect(fleet.engines[0]!.cancellations).toEqual(1);
		});
	});
}

test('guards against a budget refusal without Retry-After', async () => {
	const refusingBudget = {
		async admit(): Promise<never> {
			throw createRouterError('budgetExceeded', undefined, {retryAfterSeconds: 2.2});
		},
	};
	await runWithFleet(async fleet => {
		const outcome = await callCompletion({address: fleet.address, secret: localSecret, prompt: 'a'});
		expect({status: outcome.status, after: outcome.headers['retry-after'], notRun: outcome.headers['x-not-run']}).toEqual({status: 429, after: '3', notRun: 'true'});
	}, {budget: refusingBudget});
});

test('guards against a model that is listed but cannot be retrieved by name', async () => {
	await runWithFleet(async fleet => {
		const headers = {authorization: `Bearer ${localSecret}`};
		const list = await request(`http://${fleet.address}/v1/models`, {headers});
		const {data} = await list.body.json() as {data: Array<{id: string}>};
		expect(data.map(model => model.id).toSorted()).toEqual(['assistant', 'fixed']);
		const one = await request(`http://${fleet.address}/v1/models/assistant`, {headers});
		expect(await one.body.json() as object).toEqual({
			id: 'assistant', object: 'model', created: 0, owned_by: 'laburnumturn',
		});
	});
});
