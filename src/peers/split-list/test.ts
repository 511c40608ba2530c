import {test} from 'node:test';
import {expect} from 'earl';
import {splitList} from './index.js';

test('guards against items that are lost or sent twice where a list is split', () => {
	expect(splitList([1, 2, 3, 4, 5], 2)).toEqual([[1, 2], [3, 4], [5]]);
	expect(splitList([1, 2], 2)).toEqual([[1, 2]]);
	expect(splitList([], 2)).toEqual([]);
});
