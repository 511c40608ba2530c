import type {Socket} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {sendRawRequest, type RawResponse} from '../../fixtures/send-raw-request/index.js';
import {LocalFleet, localSecret} from '../../standin/local-fleet/index.js';

type Answer = (socket: Socket) => void;
type Call = {readonly method?: string; readonly headers?: string};

const unframedHead = 'HTTP/1.1 200 OK\r\nConnection: close\r\n';

/** Calls a service whose targets answer with `answer`; returns what the caller receives. */
async function callWithAnswer(answer: Answer, call: Call = {}): Promise<RawResponse> {
	const fleet = await new LocalFleet({engines: 0}).start();
	for (const {server} of fleet.services) {
		server.removeAllListeners('request');
		server.on('request', message => {
			message.resume();
			answer(message.socket);
		});
	}

	try {
		const head = `${call.method ?? 'POST'} /orders/book HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${localSecret}\r\n${call.headers ?? ''}`;
		return await sendRawRequest(fleet.address, `${head}Content-Length: 0\r\n\r\n`);
	} finally {
		await fleet.stop();
	}
}

/** Writes an answer without length, then closes the connection with `close` after `delayMs`, or at once. */
function answerUnframed(body: string, close: 'end' | 'resetAndDestroy', delayMs = 0): Answer {
	return socket => {
		socket.write(`${unframedHead}\r\n${body}`);
		if (delayMs === 0) {
			socket[close]();
			return;
		}

		setTimeout(() => {
			socket[close]();
		}, delayMs);
	};
}

test('guards against an answer without length that looks complete after a reset, whenever the reset arrives', async () => {
	for (const method of ['POST', 'GET']) {
		for (const delayMs of [0, 20]) {
			const {isComplete} = await callWithAnswer(answerUnframed('half', 'resetAndDestroy', delayMs), {method});
			expect({method, delayMs, isComplete}).toEqual({method, delayMs, isComplete: false});
		}
	}
});

test('guards against a stored answer of which only a part arrived', async () => {
	for (const delayMs of [0, 20]) {
		const {head} = await callWithAnswer(answerUnframed('half', 'resetAndDestroy', delayMs), {headers: 'Idempotency-Key: a\r\n'});
		expect(head.startsWith('HTTP/1.1 502')).toEqual(true);
	}
});
