import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {ResponseHead} from '../../forwarding/call-types/index.js';
import type {Attempt} from '../../forwarding/session-types/index.js';
import type {MonotonicMs, WallMs} from '../../identity/ids/index.js';
import {openLimitGate} from '../../limits/limit-gate/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {NumberStatement} from '../parse-stated-number/index.js';
import {silentAnnouncer} from '../leaving-notices/index.js';
import {maximumPauseMs} from '../record-pause/index.js';
import {noStatements, type TargetStatements} from '../target-statements/index.js';
import {recordStatements} from './index.js';

const plainHead: ResponseHead = {
	status: 200, headers: [], isNotRun: false, isGenuine: true, isOtherTarget: false, statements: noStatements, weightsVersion: 1, isUnframed: false,
};
const refusal: Partial<ResponseHead> = {status: 503, isNotRun: true, isGenuine: false};

function createAttempt(sentAt: number): Attempt {
	return createAttemptAt(createFleetTarget('t1'), sentAt);
}

function createAttemptAt(target: FleetTarget, sentAt: number): Attempt {
	return {
		target, record: target.beginCall(0, sentAt as MonotonicMs), weightsVersion: 1, exchange: undefined, head: undefined,
		lastReceivedAt: sentAt as MonotonicMs, lastProgressAt: sentAt as MonotonicMs, isPaused: false, answer: undefined,
	};
}

type HeadChanges = Partial<Omit<ResponseHead, 'statements'>> & {readonly requestLimit?: NumberStatement; readonly statements?: Partial<TargetStatements>};

function receive(attempt: Attempt, {requestLimit = 'none', statements, ...changes}: HeadChanges, at: number, limits = openLimitGate): number | undefined {
	const head: ResponseHead = {...plainHead, statements: {...noStatements, requestLimit, ...statements}, ...changes};
	recordStatements(attempt, head, {
		clock: new ManualClock(), logger: quietLogger, fleet: new TargetFleet(quietLogger), limits, leavingNotices: silentAnnouncer,
	}, at as MonotonicMs);
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

test('guards against a target that counts as serving after it has said that it leaves, or as leaving after a malformed statement', () => {
	const attempt = createAttempt(0);
	receive(attempt, {statements: {isLeaving: 'invalid'}}, 10);
	expect(attempt.target.isLeaving).toEqual(false);
	receive(attempt, {...refusal, statements: {isLeaving: true}}, 20);
	receive(attempt, {}, 30);
	expect(attempt.target.isLeaving).toEqual(true);
});

test('guards against a pause without end, one by a date of the past, and one that a malformed statement begins or ends', () => {
	const {target} = createAttempt(0);
	const pauseUntil = (statement: TargetStatements['pause'], at: number) => {
		receive(createAttemptAt(target, at), {...refusal, statements: {pause: statement}}, at);
		return target.pause.readUntil();
	};

	expect(pauseUntil('invalid', 10)).toEqual(Number.NEGATIVE_INFINITY as MonotonicMs);
	expect(pauseUntil({type: 'until', at: 0 as WallMs}, 20)).toEqual(20 as MonotonicMs);
	expect(pauseUntil({type: 'delay', ms: 1000}, 30)).toEqual(1030 as MonotonicMs);
	expect(pauseUntil('invalid', 40)).toEqual(1030 as MonotonicMs);
	expect(pauseUntil({type: 'delay', ms: 1e15}, 50)).toEqual(50 + maximumPauseMs as MonotonicMs);
});

test('guards against one statement that hides another in the same answer', () => {
	const attempt = createAttempt(0);
	expect(receive(attempt, {...refusal, requestLimit: 2, statements: {isLeaving: true, pause: {type: 'delay', ms: 500}}}, 10)).toEqual(2);
	expect([attempt.target.isLeaving, attempt.target.isPaused(100 as MonotonicMs)]).toEqual([true, true]);
});

test('guards against a brittle target that is not known, or not to the issuer of its permits: also refusals say it, and those for want of room are reported', () => {
	const {target} = createAttempt(0);
	const reported: string[] = [];
	const limits = {
		...openLimitGate, reportRefused({description: {id}}: FleetTarget) {
			reported.push(id);
		},
	};
	const state = (changes: HeadChanges, at: number) => {
		receive(createAttemptAt(target, at), changes, at, limits);
		return [target.brittleness.read(), reported.length];
	};

	expect(state({...refusal, statements: {brittleness: 4}}, 10)).toEqual([4, 1]);
	expect(state({...refusal, status: 429}, 20)).toEqual([4, 1]);
	expect(state({statements: {brittleness: 'invalid'}}, 30)).toEqual([4, 1]);
	expect(state({...refusal, isOtherTarget: true, statements: {brittleness: 7}}, 40)).toEqual([4, 1]);
	expect(state(refusal, 50)).toEqual([4, 2]);
	expect(state({}, 60)).toEqual([undefined, 2]);
	expect(state(refusal, 70)).toEqual([undefined, 2]);
});
