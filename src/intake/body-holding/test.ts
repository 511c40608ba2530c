import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {BodyHolding} from './index.js';

test('guards against a rate that counts what was sent long ago like what is sent now', () => {
	const holding = new BodyHolding(() => undefined, 0 as MonotonicMs);
	holding.sizeBytes = 1000;
	holding.observe(0 as MonotonicMs);
	const firstRate = holding.readRate(0 as MonotonicMs);
	expect(firstRate > 0).toEqual(true);
	expect(holding.readRate(5000 as MonotonicMs) < firstRate / 100).toEqual(true);
	holding.observe(5000 as MonotonicMs);
	expect(holding.readSilenceMs(6000 as MonotonicMs)).toEqual(6000);
	holding.sizeBytes = 1001;
	holding.observe(6000 as MonotonicMs);
	expect(holding.readSilenceMs(6000 as MonotonicMs)).toEqual(0);
});
