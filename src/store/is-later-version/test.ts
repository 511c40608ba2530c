import {test} from 'node:test';
import {expect} from 'earl';
import {isLaterVersion} from './index.js';

test('guards against comparing versions as text', () => {
	expect(isLaterVersion('10', '9')).toEqual(true);
	expect(isLaterVersion('9', '10')).toEqual(false);
	expect(isLaterVersion('9', '9')).toEqual(false);
});

test('guards against a version that is not later than an absent one', () => {
	expect(isLaterVersion('1', undefined)).toEqual(true);
	expect(isLaterVersion('1', '')).toEqual(true);
});
