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
