import {test} from 'node:test';
import {expect} from 'earl';
import {isLaterVersion} from './index.js';

test('guards against comparing versions as text', () => {
	expect(isLaterVersion('10', '9')).toEqual(true);
	expect(isLaterVersion('9', '10')).toEqual(false);
	expect(isLaterVersion('9', '9')).toEqual(false);
});

test('any version is later than none', () => {
	expect(isLaterVersion('1', undefined)).toEqual(true);
	expect(isLaterVersion('1', '')).toEqual(true);
});
