import {test} from 'node:test';
import {expect} from 'earl';
import {faultKinds, planFaults} from './index.js';

test('guards against a seed that cannot be played again', () => {
	expect(planFaults(7, 10_000)).toEqual(planFaults(7, 10_000));
	expect(JSON.stringify(planFaults(7, 10_000)) === JSON.stringify(planFaults(8, 10_000))).toEqual(false);
});

test('guards against faults that never come, or outlast the time that they have', () => {
	const faults = Array.from({length: 50}, (_, seed) => planFaults(seed, 20_000)).flat();
	expect(new Set(faults.map(({kind}) => kind)).size).toEqual(Object.values(faultKinds).flat().length);
	expect(faults.every(({at, durationMs}) => at >= 0 && at + durationMs <= 20_000)).toEqual(true);
});

test('faults overlap', () => {
	const faults = planFaults(1, 20_000);
	const overlapping = faults.filter(({at, durationMs}) => faults.some(other => other.at > at && other.at < at + durationMs));
	expect(overlapping.length > 5).toEqual(true);
});
