import {test} from 'node:test';
import {expect} from 'earl';
import {createAnnouncedVersion} from '../../fixtures/create-announced-version/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {WeightsVersionHistory} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

test('guards against a newer version that extends the time limit of the previous one', () => {
	const weights = new WeightsVersionHistory();
	weights.addVersion(createAnnouncedVersion(2, 7500, 0));
	weights.addVersion(createAnnouncedVersion(3, 7500, 5500));
	expect(weights.allowsNewCalls(1, at(7400))).toEqual(true);
	expect(weights.allowsNewCalls(1, at(7600))).toEqual(false);
	expect(weights.allowsNewCalls(2, at(7600))).toEqual(true);
	expect(weights.allowsNewCalls(2, at(13_100))).toEqual(false);
	expect(weights.allowsNewCalls(3, at(60_000))).toEqual(true);
});

test('guards against a rollback to an older version that is announced late', () => {
	const weights = new WeightsVersionHistory();
	expect(weights.addVersion(createAnnouncedVersion(3, 1000, 0))).toEqual(true);
	expect(weights.addVersion(createAnnouncedVersion(2, 1000, 0))).toEqual(false);
	expect(weights.version).toEqual(3);
});

test('guards against answers of old weights that count as stale before the end of the grace period, or never', () => {
	const weights = new WeightsVersionHistory();
	weights.addVersion(createAnnouncedVersion(2, 7500, 0));
	expect(weights.isStale(1, at(1000))).toEqual(false);
	expect(weights.isStale(1, at(1300))).toEqual(true);
	expect(weights.isStale(2, at(1300))).toEqual(false);
});

test('guards against a call that begins on old weights after it waited in the queue of its engine', () => {
	const weights = new WeightsVersionHistory();
	weights.addVersion(createAnnouncedVersion(2, 7500, 0));
	expect(weights.mustNotBegin(1, at(9400))).toEqual(false);
	expect(weights.mustNotBegin(1, at(9500))).toEqual(true);
	expect(weights.mustNotBegin(2, at(9500))).toEqual(false);
});
