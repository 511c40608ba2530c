import {test} from 'node:test';
import {expect} from 'earl';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {RequestKey} from '../request-key/index.js';
import {TrialRegister, trialIntervalMs} from './index.js';

const key = 'a'.repeat(32) as RequestKey;
const at = (ms: number) => ms as MonotonicMs;
const [first, second] = ['i1', 'i2'] as InstanceId[];

test('guards against two instances that both try a request: the one with the lower id does', () => {
	const [own, other] = [new TrialRegister<RequestKey>(), new TrialRegister<RequestKey>()];
	const ownTrial = own.begin(key, first!, at(0))!;
	const otherTrial = other.begin(key, second!, at(1))!;
	own.record(key, otherTrial);
	other.record(key, ownTrial);
	expect([own.holds(key, ownTrial), other.holds(key, otherTrial)]).toEqual([true, false]);
});

test('begins no trial soon after another one', () => {
	const trials = new TrialRegister<RequestKey>();
	trials.record(key, {instance: second!, announcedAt: at(0)});
	expect(trials.begin(key, first!, at(trialIntervalMs - 1))).toEqual(undefined);
	expect(trials.begin(key, first!, at(trialIntervalMs))?.instance).toEqual(first);
});
