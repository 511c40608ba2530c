import {test} from 'node:test';
import {expect} from 'earl';
import {isFinalStatus} from './index.js';

test('guards against a status outside the range of HTTP, or an interim one, that is passed on as an answer', () => {
	expect([200, 204, 302, 404, 599].every(status => isFinalStatus(status))).toEqual(true);
	expect([0, 99, 100, 199, 600, 999, Number.NaN].some(status => isFinalStatus(status))).toEqual(false);
});
