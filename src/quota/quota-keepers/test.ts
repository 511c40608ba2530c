import {test} from 'node:test';
import {expect} from 'earl';
import type {InstanceId, OrganisationId} from '../../identity/ids/index.js';
import {listKeepers} from './index.js';

const createIds = (count: number) => Array.from({length: count}, (_, index) => `i${index}` as InstanceId);

test('a small fleet has no keepers', () => {
	expect(listKeepers('org' as OrganisationId, createIds(9))).toEqual([]);
});

test('guards against one instance that keeps the tokens of all organisations', () => {
	const ids = createIds(72);
	const keepers = Array.from({length: 16}, (_, index) => listKeepers(`sese${index}` as OrganisationId, ids)).flat();
	expect(keepers.length).toEqual(32);
	expect(new Set(keepers).size >= 20).toEqual(true);
});
