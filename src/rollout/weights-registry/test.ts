import {test} from 'node:test';
import {expect} from 'earl';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {WeightsRegistry} from './index.js';

const at = (ms: number) => ms as MonotonicMs;

test('guards against a restarted instance that applies the full time limit again to weights announced before its start', () => {
	const registry = new WeightsRegistry(at(0), () => 10_000);
	registry.addVersion('m', 2, at(500));
	expect(registry.find('m')?.allowsNewCalls(1, at(3400))).toEqual(true);
	expect(registry.find('m')?.allowsNewCalls(1, at(3600))).toEqual(false);
});

test('guards against calls on old weights beyond three quarters of the limit, which leaves time for a delayed announcement', () => {
	const registry = new WeightsRegistry(at(0), () => 10_000);
	registry.addVersion('m', 2, at(20_000));
	expect(registry.find('m')?.allowsNewCalls(1, at(27_400))).toEqual(true);
	expect(registry.find('m')?.allowsNewCalls(1, at(27_500))).toEqual(false);
	expect(registry.dump()).toEqual({m: 2});
});
