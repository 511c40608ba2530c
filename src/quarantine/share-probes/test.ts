import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import {shareProbes} from './index.js';

test('guards against a connection for each of those who ask about one crash', async () => {
	const probed: FleetTarget[] = [];
	const probe = shareProbes(async target => {
		probed.push(target);
		return 'down';
	});
	const [first, second] = [createFleetTarget('t1'), createFleetTarget('t2')];
	expect(await Promise.all([probe(first), probe(first), probe(second)])).toEqual(['down', 'down', 'down']);
	expect(probed).toEqual([first, second]);
	await probe(first);
	expect(probed.length).toEqual(3);
});
