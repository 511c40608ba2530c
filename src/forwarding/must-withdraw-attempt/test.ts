import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {WeightsRegistry} from '../../rollout/weights-registry/index.js';
import type {ResponseHead} from '../call-types/index.js';
import type {Attempt} from '../session-types/index.js';
import {mustWithdrawAttempt} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const limitMs = 10_000;
const announcedAt = 20_000;

function createContext() {
	const registry = new WeightsRegistry(at(0), () => limitMs);
	registry.addVersion('m', 2, {maximumMs: 0, maximumUnseenMs: 0}, at(announcedAt));
	return {findVersionHistory: (model: string) => registry.find(model)};
}

function createAttempt(weightsVersion: number, head?: Partial<ResponseHead>): Attempt {
	const target = createFleetTarget('engine');
	return {
		target, weightsVersion, record: target.beginCall(1, at(announcedAt)), exchange: undefined, head: head as ResponseHead | undefined,
		lastReceivedAt: at(announcedAt), lastProgressAt: at(announcedAt), isPaused: false, answer: undefined,
	};
}

test('guards against a call that is sent in time but waits in the queue of its engine until the old weights may not be used', () => {
	const context = createContext();
	expect(mustWithdrawAttempt(createAttempt(1), 'm', context, at(announcedAt + 9000))).toEqual(false);
	expect(mustWithdrawAttempt(createAttempt(1), 'm', context, at(announcedAt + 9600))).toEqual(true);
});

test('guards against withdrawing calls that have begun, run on new weights or on a plain service', () => {
	const context = createContext();
	const now = at(announcedAt + 9600);
	expect(mustWithdrawAttempt(createAttempt(1, {status: 200}), 'm', context, now)).toEqual(false);
	expect(mustWithdrawAttempt(createAttempt(2), 'm', context, now)).toEqual(false);
	expect(mustWithdrawAttempt(createAttempt(1), undefined, context, now)).toEqual(false);
});
