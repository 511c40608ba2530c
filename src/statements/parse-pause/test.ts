import {test} from 'node:test';
import {expect} from 'earl';
import type {WallMs} from '../../identity/ids/index.js';
import {parsePause} from './index.js';

test('reads seconds, fractions of them and dates', () => {
	expect([parsePause(undefined), parsePause('2'), parsePause(' 0.5 '), parsePause('0')]).toEqual([
		'none', {type: 'delay', ms: 2000}, {type: 'delay', ms: 500}, {type: 'delay', ms: 0},
	]);
	expect(parsePause('Fri, 07 Aug 2026 10:00:00 GMT')).toEqual({type: 'until', at: Date.UTC(2026, 7, 7, 10) as WallMs});
});

test('guards against a malformed pause that counts as one, or as none', () => {
	const malformed = ['', '-1', '1e3', 'soon', '1, 2', '2026-08-07', 'Fri, 99 Foo 2026 10:00:00 GMT', '9'.repeat(40)];
	expect(malformed.map(text => parsePause(text))).toEqual(malformed.map(() => 'invalid'));
});
