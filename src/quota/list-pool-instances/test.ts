import {test} from 'node:test';
import {expect} from 'earl';
import type {InstanceId, OrganisationId} from '../../identity/ids/index.js';
import {listPoolInstances} from './index.js';

const createIds = (count: number) => Array.from({length: count}, (_, index) => `i${index}` as InstanceId);

test('lists no pool instances in a small fleet', () => {
	expect(listPoolInstances('org' as OrganisationId, createIds(9))).toEqual([]);
});

test('guards against one instance that pools the tokens of all organisations', () => {
	const ids = createIds(72);
	const poolInstances = Array.from({length: 16}, (_, index) => listPoolInstances(`sese${index}` as OrganisationId, ids)).flat();
	expect(poolInstances.length).toEqual(32);
	expect(new Set(poolInstances).size >= 20).toEqual(true);
});
