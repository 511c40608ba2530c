import {test} from 'node:test';
import {expect} from 'earl';
import {createMember} from '../../fixtures/create-member/index.js';
import type {DataCentreId} from '../../identity/ids/index.js';
import {rankAggregators} from './index.js';

const dataCentre = 'dc-0' as DataCentreId;

test('guards against an aggregator with little capacity while there is one with more', () => {
	const members = [createMember('a', {capacity: 0.3}), createMember('b', {capacity: 1.35}), createMember('c', {capacity: 0.3})];
	expect(rankAggregators(members, dataCentre)[0]!.id).toEqual('b' as never);
});

test('guards against instances that rank the same members differently', () => {
	const members = Array.from({length: 9}, (_, index) => createMember(`i${index}`));
	expect(rankAggregators(members.toReversed(), dataCentre)).toEqual(rankAggregators(members, dataCentre));
});

test('guards against aggregators that are leaving or in another data centre', () => {
	const members = [createMember('a', {state: 'leaving'}), createMember('b', {dataCentre: 'dc-1' as DataCentreId}), createMember('c')];
	expect(rankAggregators(members, dataCentre).map(({id}) => id)).toEqual(['c' as never]);
});
