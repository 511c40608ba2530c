import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {WeightsRegistry, type AnnouncementAge} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

function createAge(maximumMs: number | undefined, maximumUnseenMs = maximumMs): AnnouncementAge {
	return {maximumMs, maximumUnseenMs};
}

test('guards against a restarted instance that applies the full time limit again to weights announced before its start', () => {
	const registry = new WeightsRegistry(at(0), () => 10_000);
	registry.addVersion('m', 2, createAge(undefined), at(500));
	expect(registry.find('m')?.allowsNewCalls(1, at(1900))).toEqual(true);
	expect(registry.find('m')?.allowsNewCalls(1, at(2100))).toEqual(false);
});

test('guards against a started instance that hears late of weights announced before its start, and then allows old ones', () => {
	const registry = new WeightsRegistry(at(0), () => 10_000);
	registry.addVersion('m', 2, createAge(undefined), at(4000));
	expect(registry.find('m')?.allowsNewCalls(1, at(4000))).toEqual(false);
});

test('guards against calls on old weights beyond three quarters of the limit, which leaves time for their queue at the engine', () => {
	const registry = new WeightsRegistry(at(0), () => 10_000);
	registry.addVersion('m', 2, createAge(0), at(20_000));
	expect(registry.find('m')?.allowsNewCalls(1, at(27_400))).toEqual(true);
	expect(registry.find('m')?.allowsNewCalls(1, at(27_500))).toEqual(false);
	expect(registry.dump()).toEqual({m: 2});
});

test('guards against a time limit that counts from the receipt of the announcement at an instance that stood still', () => {
	const registry = new WeightsRegistry(at(0), () => 10_000);
	registry.addVersion('m', 2, createAge(5000), at(25_000));
	expect(registry.find('m')?.allowsNewCalls(1, at(27_400))).toEqual(true);
	expect(registry.find('m')?.allowsNewCalls(1, at(27_500))).toEqual(false);
	expect(registry.find('m')?.mustNotBegin(1, at(29_400))).toEqual(false);
	expect(registry.find('m')?.mustNotBegin(1, at(29_500))).toEqual(true);
});

test('guards against a version without a limit because a newer one replaced it before this instance saw it', () => {
	const registry = new WeightsRegistry(at(0), () => 10_000);
	registry.addVersion('m', 1, createAge(undefined), at(100));
	registry.addVersion('m', 3, createAge(1000, 5000), at(25_000));
	expect(registry.find('m')?.allowsNewCalls(1, at(27_400))).toEqual(true);
	expect(registry.find('m')?.allowsNewCalls(1, at(27_500))).toEqual(false);
	expect(registry.find('m')?.allowsNewCalls(2, at(31_400))).toEqual(true);
	expect(registry.find('m')?.allowsNewCalls(2, at(31_500))).toEqual(false);
	expect(registry.find('m')?.version).toEqual(3);
});

test('guards against a started instance that allows weights which were replaced long ago because it knows only when the newest were announced', () => {
	const registry = new WeightsRegistry(at(0), () => 10_000);
	registry.addVersion('m', 4, {maximumMs: 500, maximumUnseenMs: undefined}, at(600));
	expect(registry.find('m')?.allowsNewCalls(2, at(1900))).toEqual(true);
	expect(registry.find('m')?.allowsNewCalls(2, at(2100))).toEqual(false);
	expect(registry.find('m')?.allowsNewCalls(3, at(7500))).toEqual(true);
	expect(registry.find('m')?.allowsNewCalls(3, at(7700))).toEqual(false);
	expect(registry.find('m')?.isStale(3, at(2500))).toEqual(true);
});

test('guards against limits that a suspension extends when the monotonic clock does not count it', () => {
	const registry = new WeightsRegistry(at(0), () => 10_000);
	registry.addVersion('m', 2, createAge(0), at(20_000));
	registry.shiftLimits(4000);
	expect(registry.find('m')?.allowsNewCalls(1, at(23_400))).toEqual(true);
	expect(registry.find('m')?.allowsNewCalls(1, at(23_500))).toEqual(false);
	expect(registry.find('m')?.mustNotBegin(1, at(25_500))).toEqual(true);
});
