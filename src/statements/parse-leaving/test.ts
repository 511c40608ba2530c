import {test} from 'node:test';
import {expect} from 'earl';
import {parseLeaving} from './index.js';

test('guards against taking a malformed value for a target that is leaving, or that stays', () => {
	expect([undefined, '0', '1', ' 1 '].map(text => parseLeaving(text))).toEqual([false, false, true, true]);
	expect(['', 'true', '2', '1, 0', '01'].map(text => parseLeaving(text))).toEqual(['invalid', 'invalid', 'invalid', 'invalid', 'invalid']);
});
