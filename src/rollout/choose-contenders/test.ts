import {test} from 'node:test';
import {expect} from 'earl';
import {createMember} from '../../fixtures/create-member/index.js';
import type {Incarnation} from '../../identity/ids/index.js';
import {chooseContenders} from './index.js';

test('guards against a lease that moves with each step of a rolling restart, and against contenders that are leaving', () => {
	const members = ['1', '2', '3', '4'].map(incarnation => createMember(`i${incarnation}`, {
		incarnation: incarnation as Incarnation, state: incarnation === '4' ? 'leaving' : 'live',
	}));
	expect(chooseContenders(members).map(({incarnation}) => incarnation)).toEqual(['3' as Incarnation, '2' as Incarnation]);
});
