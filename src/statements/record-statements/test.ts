import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import type {ResponseHead} from '../../forwarding/call-types/index.js';
import type {Attempt} from '../../forwarding/session-types/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {openLimitGate} from '../../limits/limit-gate/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {RequestLimit} from '../../limits/request-limit/index.js';
import {silentAnnouncer} from '../leaving-notices/index.js';
import {noStatements} from '../target-statements/index.js';
import {recordStatements} from './index.js';

const plainHead: ResponseHead = {
	status: 200, headers: [], isNotRun: false, isGenuine: true, isOtherTarget: false, statements: noStatements, weightsVersion: 1, isUnframed: false,
};
const refusal: Partial<ResponseHead> = {status: 503, isNotRun: true, isGenuine: false};

function createAttempt(sentAt: number): Attempt {
	const target = createFleetTarget('t1');
	return {
		target, record: target.beginCall(0, sentAt as MonotonicMs), weightsVersion: 1, exchange: undefined, head: undefined,
		lastReceivedAt: sentAt as MonotonicMs, lastProgressAt: sentAt as MonotonicMs,
	};
}

type HeadChanges = Partial<ResponseHead> & {readonly requestLimit?: RequestLimit};

function receive(attempt: Attempt, {requestLimit = 'none', ...changes}: HeadChanges, at: number): number | undefined {
	const head: ResponseHead = {...plainHead, statements: {...noStatements, requestLimit}, ...changes};
	recordStatements(attempt, head, {logger: quietLogger, limits: openLimitGate, leavingNotices: silentAnnouncer}, at as MonotonicMs);
	return attempt.target.limit.read();
}

test('records the limit of an answer and of a refusal', () => {
	expect(receive(createAttempt(0), {requestLimit: 2}, 10)).toEqual(2);
	expect(receive(createAttempt(0), {...refusal, requestLimit: 2}, 10)).toEqual(2);
});

test('guards against a refusal without a limit, or an invalid limit, that ends the limit', () => {
	const attempt = createAttempt(5);
	attempt.target.limit.recordStated(2, 1 as MonotonicMs);
	expect(receive(attempt, refusal, 10)).toEqual(2);
	expect(receive(attempt, {requestLimit: 'invalid'}, 10)).toEqual(2);
	expect(receive(attempt, {}, 10)).toEqual(undefined);
});

test('guards against taking the limit of another target that now has the address, or of an answer to another call', () => {
	expect(receive(createAttempt(0), {...refusal, isOtherTarget: true, requestLimit: 2}, 10)).toEqual(undefined);
	expect(receive(createAttempt(0), {isGenuine: false, requestLimit: 2}, 10)).toEqual(undefined);
});
