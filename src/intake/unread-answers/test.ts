import type {ServerResponse} from 'node:http';
import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {UnreadAnswers} from './index.js';

/** Creates a response of which `writableLength` bytes wait. */
function createResponse(writableLength: number, bytesWritten = 0): ServerResponse {
	return {writableLength, destroyed: false, socket: {bytesWritten}} as unknown as ServerResponse;
}

test('guards against giving up a caller that reads while another one does not', () => {
	const slow = createResponse(1000, 1);
	const silent = createResponse(500);
	const answers = new UnreadAnswers(() => [slow, silent, createResponse(0)]);
	answers.observe(0 as MonotonicMs);
	expect([answers.heldBytes, answers.chooseToAbort(500 as MonotonicMs)]).toEqual([1500, undefined]);
	Object.assign(slow.socket!, {bytesWritten: 2});
	answers.observe(1000 as MonotonicMs);
	expect(answers.chooseToAbort(1200 as MonotonicMs) === silent).toEqual(true);
	answers.remove(silent);
	expect([answers.heldBytes, answers.chooseToAbort(1200 as MonotonicMs)]).toEqual([1000, undefined]);
});

test('chooses the answer that takes most memory, and forgets those that are written', () => {
	const responses = [createResponse(500), createResponse(900), createResponse(700)];
	const answers = new UnreadAnswers(() => responses);
	answers.observe(0 as MonotonicMs);
	expect(answers.chooseToAbort(2000 as MonotonicMs) === responses[1]).toEqual(true);
	responses.splice(1, 1);
	answers.observe(2000 as MonotonicMs);
	expect(answers.chooseToAbort(2000 as MonotonicMs) === responses[1]).toEqual(true);
});
