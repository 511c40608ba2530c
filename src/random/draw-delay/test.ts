import {test} from 'node:test';
import {expect} from 'earl';
import {RandomSource} from '../random-source/index.js';
import {drawDelay} from './index.js';

test('guards against pauses outside their bounds, or the same one at all instances', () => {
	const delays = Array.from({length: 100}, (_, seed) => drawDelay(new RandomSource(seed), {shortest: 2000, longest: 6000}));
	expect(delays.every(delayMs => delayMs >= 2000 && delayMs < 6000)).toEqual(true);
	expect(new Set(delays).size > 80).toEqual(true);
});
