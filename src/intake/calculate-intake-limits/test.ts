import {test} from 'node:test';
import {expect} from 'earl';
import {calculateIntakeLimits} from './index.js';

const mb = 1024 * 1024;
const callers = {bodyStallMs: 10_000};

test('derives the limits from memory and descriptors of the machine', () => {
	expect(calculateIntakeLimits({memoryMb: 160, descriptors: 2212, callers})).toEqual({heldBytes: 16 * mb, stallMs: 10_000, connections: 1006});
	expect(calculateIntakeLimits({memoryMb: 602, descriptors: 10_250, callers})).toEqual({heldBytes: 237 * mb, stallMs: 10_000, connections: 5025});
	expect(calculateIntakeLimits({memoryMb: 100, callers}).heldBytes).toEqual(16 * mb);
});

test('guards against limits on connections that a deployment did not ask for', () => {
	expect(calculateIntakeLimits({callers})).toEqual({heldBytes: 64 * mb, stallMs: 10_000, connections: undefined});
});

test('prefers what the settings state for callers', () => {
	const limits = calculateIntakeLimits({memoryMb: 160, descriptors: 2212, callers: {...callers, heldBodyBytes: 1000, connections: 7}});
	expect([limits.heldBytes, limits.connections]).toEqual([1000, 7]);
});
