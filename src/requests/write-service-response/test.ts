import {test} from 'node:test';
import {expect} from 'earl';
import {answerUnframed, callRawService, closingHead} from '../../fixtures/call-raw-service/index.js';

const eventStream = 'Content-Type: text/event-stream\r\n';

test('guards against an answer without length that the orderly close of a killed process completes: it is sent in chunks', async () => {
	const {head, body, isComplete} = await callRawService(answerUnframed({body: 'whole', close: 'end'}));
	expect([/transfer-encoding: chunked/iu.test(head), body, isComplete]).toEqual([true, 'whole', true]);
});

test('guards against an event stream without length that ends inside an event and looks complete', async () => {
	const torn = await callRawService(answerUnframed({body: 'data: a\n\ndata: b\n', close: 'end', headers: eventStream}));
	expect(torn.isComplete).toEqual(false);
	const whole = await callRawService(answerUnframed({body: 'data: a\n\n', close: 'end', headers: eventStream}));
	expect([whole.body, whole.isComplete]).toEqual(['data: a\n\n', true]);
});

test('guards against a broken answer that looks complete to a caller of HTTP/1.0, whose answers have no chunks', async () => {
	const {isComplete} = await callRawService(socket => {
		socket.write(`${closingHead}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`);
		setTimeout(() => {
			socket.destroy();
		}, 20);
	}, {httpVersion: '1.0'});
	expect(isComplete).toEqual(false);
});

test('guards against a stored event stream that ends inside an event, and against a large answer that looks complete after a reset', async () => {
	const torn = await callRawService(answerUnframed({body: 'data: a\n', close: 'end', headers: eventStream}), {headers: 'Idempotency-Key: a\r\n'});
	expect(torn.head.startsWith('HTTP/1.1 502')).toEqual(true);
	const large = await callRawService(answerUnframed({body: 'x'.repeat(2_000_000), close: 'resetAndDestroy', delayMs: 50}), {headers: 'Idempotency-Key: a\r\n'});
	expect(large.isComplete).toEqual(false);
});

test('guards against an answer without length that looks complete when the daemon stops before its end', async () => {
	const {body, isComplete} = await callRawService(socket => {
		socket.write(`${closingHead}\r\nhalf`);
	}, {
		onSent(fleet) {
			setTimeout(() => {
				fleet.abortCalls();
			}, 100);
		},
	});
	expect([body, isComplete]).toEqual(['half', false]);
});
