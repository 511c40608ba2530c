import type {Socket} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {sendRawRequest, type RawResponse} from '../../fixtures/send-raw-request/index.js';
import {LocalFleet, localSecret} from '../../standin/local-fleet/index.js';

type Answer = (socket: Socket) => void;
type Call = {readonly method?: string; readonly httpVersion?: string; readonly headers?: string; readonly onAnswering?: (fleet: LocalFleet) => void};

const eventStream = 'Content-Type: text/event-stream\r\n';
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
		const head = `${call.method ?? 'POST'} /orders/book HTTP/${call.httpVersion ?? '1.1'}\r\nHost: h\r\nAuthorization: Bearer ${localSecret}\r\n${call.headers ?? ''}`;
		const response = sendRawRequest(fleet.address, `${head}Content-Length: 0\r\n\r\n`);
		call.onAnswering?.(fleet);
		return await response;
	} finally {
		await fleet.stop();
	}
}

/** Writes an answer without length, then closes the connection with `close` after `delayMs`, or at once. */
function answerUnframed(body: string, close: 'end' | 'resetAndDestroy', {head = '', delayMs = 0} = {}): Answer {
	return socket => {
		socket.write(`${unframedHead}${head}\r\n${body}`);
		if (delayMs === 0) {
			socket[close]();
			return;
		}

		setTimeout(() => {
			socket[close]();
		}, delayMs);
	};
}

test('guards against a final chunk that claims a completeness which the end of a connection does not prove', async () => {
	const {head, body, isComplete} = await callWithAnswer(answerUnframed('whole', 'end'));
	expect([/transfer-encoding/iu.test(head), /connection: close/iu.test(head), body, isComplete]).toEqual([false, true, 'whole', true]);
});

test('guards against an event stream without length that ends inside an event and looks complete', async () => {
	const torn = await callWithAnswer(answerUnframed('data: a\n\ndata: b\n', 'end', {head: eventStream}));
	expect(torn.isComplete).toEqual(false);
	const whole = await callWithAnswer(answerUnframed('data: a\n\n', 'end', {head: eventStream}));
	expect([whole.body, whole.isComplete]).toEqual(['data: a\n\n', true]);
});

test('guards against a broken answer that looks complete to a caller of HTTP/1.0, whose answers have no chunks', async () => {
	const {isComplete} = await callWithAnswer(socket => {
		socket.write(`${unframedHead}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`);
		setTimeout(() => {
			socket.destroy();
		}, 20);
	}, {httpVersion: '1.0'});
	expect(isComplete).toEqual(false);
});

test('guards against a stored event stream that ends inside an event, and against a large answer that looks complete after a reset', async () => {
	const torn = await callWithAnswer(answerUnframed('data: a\n', 'end', {head: eventStream}), {headers: 'Idempotency-Key: a\r\n'});
	expect(torn.head.startsWith('HTTP/1.1 502')).toEqual(true);
	const large = await callWithAnswer(answerUnframed('x'.repeat(2_000_000), 'resetAndDestroy', {delayMs: 50}), {headers: 'Idempotency-Key: a\r\n'});
	expect(large.isComplete).toEqual(false);
});

test('guards against an answer without length that looks complete when the daemon stops before its end', async () => {
	const {body, isComplete} = await callWithAnswer(socket => {
		socket.write(`${unframedHead}\r\nhalf`);
	}, {
		onAnswering(fleet) {
			setTimeout(() => {
				fleet.abortCalls();
			}, 100);
		},
	});
	expect([body, isComplete]).toEqual(['half', false]);
});
