import {test} from 'node:test';
import {expect} from 'earl';
import {faultKinds, planFaults} from './index.js';

test('guards against plans that cannot be reproduced from their seed', () => {
	expect(planFaults(7, 10_000)).toEqual(planFaults(7, 10_000));
	expect(JSON.stringify(planFaults(7, 10_000)) === JSON.stringify(planFaults(8, 10_000))).toEqual(false);
});

test('guards against kinds of faults that are never planned, and against faults that outlast the planned duration', () => {
	const faults = Array.from({length: 50}, (_, seed) => planFaults(seed, 20_000)).flat();
	expect(new Set(faults.map(({kind}) => kind)).size).toEqual(Object.values(faultKinds).flat().length);
	expect(faults.every(({offsetMs, durationMs}) => offsetMs >= 0 && offsetMs + durationMs <= 20_000)).toEqual(true);
});

test('plans faults that overlap', () => {
	const faults = planFaults(1, 20_000);
	const overlapping = faults.filter(({offsetMs, durationMs}) => faults.some(other => other.offsetMs > offsetMs && other.offsetMs < offsetMs + durationMs));
	expect(overlapping.length > 5).toEqual(true);
});
