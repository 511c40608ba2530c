import {test} from 'node:test';
import {expect} from 'earl';
import {answerUnframed, callRawService} from '../../fixtures/call-raw-service/index.js';

test('guards against an answer without length that looks complete after a reset, whenever the reset arrives', async () => {
	for (const method of ['POST', 'GET']) {
		for (const delayMs of [0, 20]) {
			const {isComplete} = await callRawService(answerUnframed({body: 'half', close: 'resetAndDestroy', delayMs}), {method});
			expect({method, delayMs, isComplete}).toEqual({method, delayMs, isComplete: false});
		}
	}
});

test('guards against a stored answer of which only a part arrived', async () => {
	for (const delayMs of [0, 20]) {
		const {head} = await callRawService(answerUnframed({body: 'half', close: 'resetAndDestroy', delayMs}), {headers: 'Idempotency-Key: a\r\n'});
		expect(head.startsWith('HTTP/1.1 502')).toEqual(true);
	}
});

test('guards against an early answer without length that looks complete although its connection is reset while the body is being sent', async () => {
	for (const bytes of [4, 4_000_000]) {
		for (const delayMs of [0, 20]) {
			const answer = answerUnframed({body: 'half', close: 'resetAndDestroy', delayMs});
			const {isComplete} = await callRawService(answer, {body: 'x'.repeat(bytes), isBodyUnread: true});
			expect({bytes, delayMs, isComplete}).toEqual({bytes, delayMs, isComplete: false});
		}
	}
});

test('guards against an answer with a status that HTTP doesn\'t have: the caller gets an error in its place', async () => {
	for (const status of ['000', '099', '600', '999']) {
		const {head} = await callRawService(socket => {
			socket.end(`HTTP/1.1 ${status} Odd\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok`);
		});
		expect([status, head.split(' ')[1]]).toEqual([status, '502']);
	}
});
