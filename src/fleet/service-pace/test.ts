import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {ServicePace} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

test('learns the mean time for a token from all targets, and how long calls last', () => {
	const pace = new ServicePace();
	expect(pace.readMsPerToken(at(0))).toEqual(undefined);
	pace.recordWork(1000, 10, at(0));
	pace.recordWork(1000, 30, at(0));
	expect(pace.readMsPerToken(at(0))).toEqual(0.02);
	for (let count = 0; count < 200; count += 1) {
		pace.recordResponse(40);
		pace.recordCall(60);
	}

	expect(Math.round(pace.responseMs)).toEqual(40);
	expect(Math.round(pace.callMs)).toEqual(60);
});

test('guards against one stuck call that makes old reports count as new', () => {
	const pace = new ServicePace();
	const before = pace.callMs;
	pace.recordCall(600_000);
	expect(pace.callMs < before * 1.5).toEqual(true);
});
