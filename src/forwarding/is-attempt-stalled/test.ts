import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {noStatements} from '../../statements/target-statements/index.js';
import type {ResponseHead} from '../call-types/index.js';
import type {Attempt} from '../session-types/index.js';
import {isAttemptStalled} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

const head: ResponseHead = {
	status: 200, headers: [], isNotRun: false, isGenuine: true, isOtherTarget: false, statements: noStatements, weightsVersion: 1, isUnframed: false,
};

function createAttempt(hasAnswered: boolean): Attempt {
	const target = createFleetTarget('t');
	const record = target.beginCall(1000, at(0));
	record.hasAnswered = hasAnswered;
	return {
		target, record, weightsVersion: 1, exchange: undefined, head: hasAnswered ? head : undefined,
		lastReceivedAt: at(0), lastProgressAt: at(0), isPaused: false, answer: undefined,
	};
}

test('guards against calls that wait for a target that stops sending data: unanswered calls and streams leave it after about a second', () => {
	expect(isAttemptStalled(createAttempt(false), at(1000))).toEqual(false);
	expect(isAttemptStalled(createAttempt(false), at(1300))).toEqual(true);
	expect(isAttemptStalled(createAttempt(true), at(900))).toEqual(false);
	expect(isAttemptStalled(createAttempt(true), at(1100))).toEqual(true);
});

test('guards against moving calls away from a slow target that still responds to other calls', () => {
	for (const hasAnswered of [false, true]) {
		const attempt = createAttempt(hasAnswered);
		attempt.target.recordReceivedBytes(at(1200));
		expect(isAttemptStalled(attempt, at(1300))).toEqual(false);
	}
});

test('guards against waiting for a target that sends bytes that complete no event, also when it answers other calls', () => {
	const attempt = createAttempt(true);
	attempt.lastReceivedAt = at(1000);
	attempt.target.recordReceivedBytes(at(1000));
	expect(isAttemptStalled(attempt, at(900))).toEqual(false);
	expect(isAttemptStalled(attempt, at(1100))).toEqual(true);
});
