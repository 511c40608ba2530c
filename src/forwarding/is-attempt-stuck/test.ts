import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {AnswerHead} from '../call-types/index.js';
import type {Attempt} from '../session-types/index.js';
import {isAttemptStuck} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

const head: AnswerHead = {
	status: 200, headers: [], isNotRun: false, isGenuine: true, isOtherTarget: false, weightsVersion: 1, isUnframed: false,
};

function createAttempt(hasAnswered: boolean): Attempt {
	const target = createFleetTarget('t');
	const record = target.beginCall(1000, at(0));
	record.hasAnswered = hasAnswered;
	return {
		target, record, weightsVersion: 1, exchange: undefined, lastReceivedAt: at(0), head: hasAnswered ? head : undefined,
	};
}

test('guards against calls that wait for a target that stops sending data: unanswered calls and streams leave it after about a second', () => {
	expect(isAttemptStuck(createAttempt(false), at(1000))).toEqual(false);
	expect(isAttemptStuck(createAttempt(false), at(1300))).toEqual(true);
	expect(isAttemptStuck(createAttempt(true), at(900))).toEqual(false);
	expect(isAttemptStuck(createAttempt(true), at(1100))).toEqual(true);
});

test('guards against moving calls away from a slow target that still responds to other calls', () => {
	for (const hasAnswered of [false, true]) {
		const attempt = createAttempt(hasAnswered);
		attempt.target.noteHeard(at(1200));
		expect(isAttemptStuck(attempt, at(1300))).toEqual(false);
	}
});
