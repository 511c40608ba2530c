import {test} from 'node:test';
import {expect} from 'earl';
import {isUnframed} from './index.js';

function check(method: string, status: number, names: readonly string[]): boolean {
	return isUnframed(method, status, name => names.includes(name));
}

test('tells whether only the end of the connection delimits a body', () => {
	expect(check('POST', 200, [])).toEqual(true);
	expect(check('POST', 200, ['content-length'])).toEqual(false);
	expect(check('POST', 200, ['transfer-encoding'])).toEqual(false);
});

test('guards against connections that are closed after a response without a body', () => {
	expect(check('HEAD', 200, [])).toEqual(false);
	expect(check('DELETE', 204, [])).toEqual(false);
	expect(check('GET', 304, [])).toEqual(false);
});
