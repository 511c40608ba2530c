import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {RequestKey} from '../request-key/index.js';
import {objectionMs} from '../trial-register/index.js';
import {TrialAnnouncer} from './index.js';

const key = '0123456789abcdef0123456789abcdef' as RequestKey;

/** Creates the announcer of instance `b`, with the number of trials that it announces. */
function createAnnouncer() {
	const clock = new ManualClock(1000);
	const state = {isOnProbation: true, announced: 0};
	const announcer = new TrialAnnouncer<RequestKey>({
		clock, self: 'b' as InstanceId,
		isOnProbation: () => state.isOnProbation,
		announce() {
			state.announced += 1;
		},
		logOutcome() {
			// The outcome is what `begin` resolves to.
		},
	});
	return {clock, state, announcer};
}

test('guards against a trial of a request that is not on probation, which is not announced', async () => {
	const {state, announcer} = createAnnouncer();
	state.isOnProbation = false;
	expect([await announcer.begin(key), state.announced]).toEqual([false, 0]);
});

test('guards against a trial of a request whose quarantine was lifted or renewed meanwhile', async () => {
	const {clock, state, announcer} = createAnnouncer();
	const trial = announcer.begin(key);
	state.isOnProbation = false;
	await clock.advance(objectionMs);
	expect([await trial, state.announced]).toEqual([false, 1]);
});

test('leaves the trial to an instance with a lower id that announces it at the same time', async () => {
	for (const [other, isGranted] of [['a', false], ['c', true]] as const) {
		const {clock, announcer} = createAnnouncer();
		const trial = announcer.begin(key);
		announcer.record(key, {instance: other as InstanceId, announcedAt: 1000 as MonotonicMs});
		await clock.advance(objectionMs);
		expect(await trial).toEqual(isGranted);
	}
});
