import {test} from 'node:test';
import {expect} from 'earl';
import {formatVersion, isLaterVersion, parseVersion} from './index.js';

test('formats and parses versions with and without an era', () => {
	for (const parts of [{era: 0, revision: 7}, {era: 3, revision: 45}]) {
		expect(parseVersion(formatVersion(parts))).toEqual(parts);
	}

	expect(formatVersion({era: 0, revision: 7}) as string).toEqual('7');
});

test('guards against comparing versions as text', () => {
	expect(isLaterVersion('10', '9')).toEqual(true);
	expect(isLaterVersion('9', '10')).toEqual(false);
	expect(isLaterVersion('9', '9')).toEqual(false);
});

test('guards against a version that is not later than an absent one', () => {
	expect(isLaterVersion('1', undefined)).toEqual(true);
	expect(isLaterVersion('1', '')).toEqual(true);
});

test('guards against versions of two histories that are compared by revision', () => {
	expect([isLaterVersion('2:45', '1:66'), isLaterVersion('1:66', '2:45'), isLaterVersion('1:1', '66')]).toEqual([true, false, true]);
});
