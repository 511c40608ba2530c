import {test} from 'node:test';
import {expect} from 'earl';
import type {RequestId} from '../../identity/ids/index.js';
import {matchAnswerId} from './index.js';

test('guards against an answer that names another request, or two', () => {
	const expected = 'r1' as RequestId;
	expect(matchAnswerId(['r1'], expected)).toEqual('own');
	expect(matchAnswerId([], expected)).toEqual('none');
	expect(matchAnswerId(['r2'], expected)).toEqual('other');
	expect(matchAnswerId(['r1', 'r2'], expected)).toEqual('other');
});
