import {test} from 'node:test';
import {expect} from 'earl';
import type {Instant} from '../../clock/instant/index.js';
import type {MonotonicMs, WallMs} from '../../identity/ids/index.js';
import {RevisionTimeline} from './index.js';

const at = (monotonic: number, wall = monotonic): Instant => ({monotonic: monotonic as MonotonicMs, wall: wall as WallMs});

test('guards against a change that counts as new because it was heard of late', () => {
	const timeline = new RevisionTimeline();
	timeline.record('7', at(1000));
	timeline.record('7', at(2000));
	timeline.record('9', at(6000));
	expect(timeline.measureMaximumAgeMs('8', at(6500))).toEqual(4500);
	expect(timeline.measureMaximumAgeMs('10', at(6500))).toEqual(500);
});

test('guards against a change that counts as new after a suspension that the monotonic clock does not count', () => {
	const timeline = new RevisionTimeline();
	timeline.record('7', at(1000, 50_000));
	expect(timeline.measureMaximumAgeMs('8', at(1100, 55_100))).toEqual(5100);
});

test('guards against an age that shrinks when the wall clock is set back', () => {
	const timeline = new RevisionTimeline();
	timeline.record('7', at(1000, 50_000));
	expect(timeline.measureMaximumAgeMs('8', at(3000, 45_000))).toEqual(2000);
});

test('guards against a guess where nothing is known of the time before a change', () => {
	const timeline = new RevisionTimeline();
	timeline.record('8', at(1000));
	expect(timeline.measureMaximumAgeMs('8', at(1500))).toEqual(undefined);
});

test('guards against taking the answer of another instance for younger than the request', () => {
	const timeline = new RevisionTimeline();
	timeline.recordConfirmed([['7', 300]], at(1000));
	expect(timeline.measureMaximumAgeMs('8', at(2000))).toEqual(1300);
	expect(timeline.listRecent(1, at(2000))).toEqual([['7', 1300]]);
});
