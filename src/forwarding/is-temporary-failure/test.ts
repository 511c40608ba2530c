import {test} from 'node:test';
import {expect} from 'earl';
import {isTemporaryFailure} from './index.js';

test('guards against taking an answer about the call itself for one about its target', () => {
	expect([200, 304, 400, 401, 404, 409, 422].filter(status => isTemporaryFailure(status))).toEqual([]);
	expect([408, 425, 429, 500, 502, 503].filter(status => !isTemporaryFailure(status))).toEqual([]);
});
