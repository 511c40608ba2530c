import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {RolloutStage, RolloutState} from '../rollout-types/index.js';
import {calculateShiftShare, rampMs} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

function createShift(state: RolloutState, stage: RolloutStage, isStopped = false, isHolderSilent = false) {
	return {
		status: {state, stage, share: 0.04}, stageSince: at(1000), isStopped, isHolderSilent,
	};
}

test('guards against calls to the new version before the order has a stage', () => {
	expect(calculateShiftShare({
		status: undefined, stageSince: at(0), isStopped: false, isHolderSilent: false,
	}, at(5000))).toEqual(0);
});

test('raises the share of a shift from that of the canary to all', () => {
	expect(calculateShiftShare(createShift('serving', 'canary'), at(9000))).toEqual(0.04);
	const shift = createShift('serving', 'shift');
	expect([1000, 1000 + (rampMs / 2), 1000 + rampMs, 9000].map(ms => Math.round(100 * calculateShiftShare(shift, at(ms))))).toEqual([4, 52, 100, 100]);
});

test('guards against calls to a version that is bad, and against none at all once the old targets have stopped', () => {
	for (const stage of ['canary', 'shift'] as const) {
		expect(calculateShiftShare(createShift('serving', stage, true), at(9000))).toEqual(0);
		expect(calculateShiftShare(createShift('serving', stage, false, true), at(9000))).toEqual(0);
		expect(calculateShiftShare(createShift('rolledBack', stage), at(9000))).toEqual(0);
		expect(calculateShiftShare(createShift('completed', stage, true), at(9000))).toEqual(1);
	}
});
