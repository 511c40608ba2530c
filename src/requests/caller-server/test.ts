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

const keyLine = `authorization: Bearer ${localSecret}\r\n`;
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

async function readAll(socket: Socket): Promise<string> {
	const parts: Buffer[] = [];
	socket.on('data', part => {
		parts.push(part);
	});
	socket.on('error', () => {
		parts.push(Buffer.from('(connection reset)'));
	});
	const readText = () => Buffer.concat(parts).toString('utf8');
	// The end of an error's JSON also ends an answer on a connection that stays open.
	for (let waited = 0; waited < 3000 && !socket.readableEnded && !socket.destroyed && !readText().endsWith('}}'); waited += 10) {
		await delay(10);
	}

	socket.destroy();
	return readText();
}

/** Status line and error type of the last answer in `text`. */
function parseAnswer(text: string): {status: number; type: string; hasCode: boolean; notRun: boolean} {
	const start = text.lastIndexOf('HTTP/1.1 ');
	const [head, body] = text.slice(start).split('\r\n\r\n');
	const error = /"type":"(\w+)"/u.exec(body ?? '');
	return {
		status: Number(/^HTTP\/1.1 (\d+)/u.exec(head ?? '')?.[1] ?? 0), type: error?.[1] ?? '',
		hasCode: /x-result-code: \d+/iu.test(head ?? ''), notRun: /x-not-run: true/iu.test(head ?? ''),
	};
}

type Scenario = {readonly guards: string; readonly sent: string; readonly endsSide?: boolean; readonly status: number; readonly type: string};

const post = `POST /v1/completions HTTP/1.1\r\nhost: a\r\n${keyLine}`;
const scenarios: Scenario[] = [
	{
		guards: 'bytes that are no request', sent: 'this is not HTTP\r\n\r\n', status: 400, type: 'malformedRequest',
	},
	{
		guards: 'headers over the limit', sent: `GET /v1/models HTTP/1.1\r\nhost: a\r\nx-long: ${'x'.repeat(4000)}\r\n\r\n`, status: 431, type: 'headersTooLarge',
	},
	{
		guards: 'more headers than are kept, some of which would be dropped silently', status: 431, type: 'headersTooLarge',
		sent: `GET /v1/models HTTP/1.1\r\nhost: a\r\n${'a: b\r\n'.repeat(150)}${keyLine}\r\n`,
	},
	{
		guards: 'a stated body over the limit', sent: `${post}content-length: 5000\r\n\r\n`, status: 413, type: 'bodyTooLarge',
	},
	{
		guards: 'a chunked body over the limit', sent: `${post}transfer-encoding: chunked\r\n\r\n1388\r\n${'x'.repeat(5000)}\r\n`, status: 413, type: 'bodyTooLarge',
	},
	{
		guards: 'a body over the limit that the caller asks leave for', sent: `${post}expect: 100-continue\r\ncontent-length: 5000\r\n\r\n`, status: 413, type: 'bodyTooLarge',
	},
	{
		guards: 'headers that never end', sent: 'POST /v1/completions HTTP/1.1\r\nhost: a\r\n', status: 408, type: 'requestTimeout',
	},
	{
		guards: 'a body that never ends', sent: `${post}content-length: 100\r\n\r\n{"model"`, status: 408, type: 'requestTimeout',
	},
	{
		guards: 'a caller that closes its side within the body', sent: `${post}content-length: 100\r\n\r\n{"model"`, endsSide: true, status: 400, type: 'malformedRequest',
	},
	{
		guards: 'a path that is no path', sent: `GET // HTTP/1.1\r\nhost: a\r\n${keyLine}\r\n`, status: 400, type: 'malformedRequest',
	},
	{
		guards: 'a request to tunnel', sent: 'CONNECT a:80 HTTP/1.1\r\nhost: a\r\n\r\n', status: 405, type: 'methodNotAllowed',
	},
	{
		guards: 'an expectation that cannot be met', sent: `${post}expect: tea\r\ncontent-length: 0\r\n\r\n`, status: 400, type: 'malformedRequest',
	},
	{
		guards: 'a body that is not JSON', sent: `${post}content-length: 1\r\n\r\n{`, status: 400, type: 'malformedRequest',
	},
	{
		guards: 'a body that is nested without end', sent: `${post}content-length: 1000\r\n\r\n${'['.repeat(500)}${']'.repeat(500)}`, status: 400, type: 'malformedRequest',
	},
];

for (const {guards, sent, endsSide, status, type} of scenarios) {
	test(`guards against ${guards} without a clear error, or with harm to another caller`, async () => {
		await runWithFleet(async fleet => {
			const other = callCompletion({
				address: fleet.address, secret: localSecret, prompt: 'undisturbed', maximumTokens: 50,
			});
			const socket = await openSocket(fleet);
			socket.write(sent);
			if (endsSide ?? false) {
				socket.end();
			}

			expect(parseAnswer(await readAll(socket))).toEqual({
				status, type, hasCode: true, notRun: true,
			});
			const {isComplete} = await other;
			expect(isComplete).toEqual(true);
		});
	});
}

test('guards against a key in the body of a completion', async () => {
	await runWithFleet(async fleet => {
		const outcome = await callCompletion({
			address: fleet.address, secret: localSecret, prompt: 'a', body: {user: localSecret},
		});
		expect({status: outcome.status, notRun: outcome.error?.not_run}).toEqual({status: 400, notRun: true});
	});
});

test('guards against surplus connections that get no answer or push others out', async () => {
	await runWithFleet(async fleet => {
		const sockets = await Promise.all(Array.from({length: limits.connections}, async () => openSocket(fleet)));
		const surplus = await openSocket(fleet);
		surplus.write(`POST /payments/pay HTTP/1.1\r\nhost: a\r\n${keyLine}x-call-id: surplus\r\ncontent-length: 0\r\n\r\n`);
		const text = await readAll(surplus);
		expect(parseAnswer(text)).toEqual({
			status: 503, type: 'overloaded', hasCode: true, notRun: true,
		});
		expect(/retry-after: \d+/iu.test(text)).toEqual(true);
		expect(fleet.services.map(service => service.runs.get('surplus'))).toEqual([undefined, undefined]);
		sockets[0]!.write(`GET /v1/models HTTP/1.1\r\nhost: a\r\n${keyLine}connection: close\r\n\r\n`);
		expect(parseAnswer(await readAll(sockets[0]!)).status).toEqual(200);
		for (const socket of sockets) {
			socket.destroy();
		}
	});
});

for (const behind of ['garbage\r\n\r\n', `${post}content-length: 9\r\n\r\n{`]) {
	test(`guards against "${behind.slice(0, 7)}" behind a request that spoils the answer to that request`, async () => {
		await runWithFleet(async fleet => {
			const socket = await openSocket(fleet);
			const body = JSON.stringify({
				model: 'assistant', prompt: 'whole', stream: true, max_tokens: 400,
			});
			socket.write(`${post}content-length: ${body.length}\r\n\r\n${body}`);
			await once(socket, 'readable');
			socket.write(behind);
			const text = await readAll(socket);
			expect([text.includes('[DONE]'), text.slice(0, text.indexOf('[DONE]')).split('HTTP/1.1 ').length]).toEqual([true, 2]);
		});
	});
}

test('guards against a caller that closes its side after the request and gets neither an answer nor an error', async () => {
	await runWithFleet(async fleet => {
		const socket = await openSocket(fleet);
		const body = JSON.stringify({model: 'assistant', prompt: 'half', max_tokens: 5000});
		socket.write(`${post}content-length: ${body.length}\r\n\r\n${body}`);
		await waitFor(() => fleet.engines[0]!.runs.size > 0);
		socket.end();
		expect(parseAnswer(await readAll(socket)).type).toEqual('streamBroken');
		await waitFor(() => fleet.engines[0]!.cancellations > 0);
		expect(fleet.engines[0]!.cancellations).toEqual(1);
	});
});

test('guards against a refusal by a limit without Retry-After', async () => {
	const budget = {
		async admit(): Promise<never> {
			throw createRouterError('budgetExceeded', undefined, {retryAfterSeconds: 2.2});
		},
	};
	await runWithFleet(async fleet => {
		const outcome = await callCompletion({address: fleet.address, secret: localSecret, prompt: 'a'});
		expect({status: outcome.status, after: outcome.headers['retry-after'], notRun: outcome.headers['x-not-run']}).toEqual({status: 429, after: '3', notRun: 'true'});
	}, {budget});
});

test('guards against a model that is listed and cannot be read by its name', async () => {
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
