import {test} from 'node:test';
import {expect} from 'earl';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {ServicePace} from '../service-pace/index.js';
import {noLoad, RemoteLoads, type TargetLoad} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const sums = 'sums' as InstanceId;
const pace = new ServicePace();
const busy: TargetLoad = {calls: 10, prefillTokens: 8000, memoryTokens: 40_000};

/** Records `load` in sums that arrive every 200 ms, from 0 s to 20 s. */
function createSteadyLoads(load: TargetLoad): RemoteLoads {
	const loads = new RemoteLoads();
	for (let ms = 0; ms <= 20_000; ms += 200) {
		loads.record(sums, load, {measuredAt: at(ms - 300), expiresAt: at(ms + 1000)});
	}

	return loads;
}

test('takes reports that arrive at once as they are', () => {
	const loads = new RemoteLoads();
	loads.record('i1' as InstanceId, busy, {expiresAt: at(1000)});
	loads.record('i2' as InstanceId, busy, {expiresAt: at(1000)});
	expect(loads.estimate(pace, at(900))).toEqual({calls: 20, prefillTokens: 16_000, memoryTokens: 80_000});
	expect(loads.sum(at(900), new Set(['i1' as InstanceId]))).toEqual(busy);
	expect(loads.estimate(pace, at(1001))).toEqual(noLoad);
});

test('guards against a herd at a target that was idle when the loads were summed up: its mean load is expected to be back', () => {
	const loads = createSteadyLoads(busy);
	loads.forget(sums, at(19_900));
	const {prefillTokens, calls} = loads.estimate(pace, at(20_300));
	expect(prefillTokens > 5000 && calls > 3).toEqual(true);
});

test('guards against avoiding a target for work that has ended since it was reported', () => {
	const loads = createSteadyLoads(noLoad);
	loads.record(sums, busy, {measuredAt: at(19_900), expiresAt: at(21_200)});
	const {prefillTokens, calls} = loads.estimate(pace, at(20_300));
	expect(prefillTokens < 2000 && calls < 7).toEqual(true);
});

test('guards against filling memory with work that is not reported yet', () => {
	const idle = createSteadyLoads(busy);
	idle.forget(sums, at(19_900));
	expect(idle.estimate(pace, at(20_300)).memoryTokens > 10_000).toEqual(true);
	const full = createSteadyLoads(noLoad);
	full.record(sums, busy, {measuredAt: at(19_900), expiresAt: at(21_200)});
	expect(full.estimate(pace, at(20_300)).memoryTokens).toEqual(40_000);
	expect(full.estimateMemory(pace, at(20_300))).toEqual(40_000);
	expect(idle.estimateMemory(pace, at(20_300))).toEqual(idle.estimate(pace, at(20_300)).memoryTokens);
});

test('guards against adding a mean of long ago to the reports of a fleet that has become small', () => {
	const loads = createSteadyLoads(busy);
	loads.forget(sums, at(20_000));
	const light: TargetLoad = {calls: 1, prefillTokens: 100, memoryTokens: 200};
	loads.record('i1' as InstanceId, light, {expiresAt: at(80_000)});
	expect(loads.estimate(pace, at(79_000))).toEqual(light);
	expect(loads.estimateMemory(pace, at(79_000))).toEqual(light.memoryTokens);
});
