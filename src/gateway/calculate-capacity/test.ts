import {test} from 'node:test';
import {expect} from 'earl';
import {calculateCapacity} from './index.js';

test('calculates the capacity from the processor, or from a narrow link', () => {
	expect(calculateCapacity({coreShare: 0.5, cores: 2, linkMegabitsPerSecond: 200})).toEqual(1);
	expect(calculateCapacity({coreShare: 1, cores: 2, linkMegabitsPerSecond: 5})).toEqual(0.2);
});
