import {test} from 'node:test';
import {expect} from 'earl';
import {createFleetTarget} from '../../fixtures/create-fleet-target/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {findClosedAddress} from '../../fixtures/start-test-gateway/index.js';
import {probeTarget} from './index.js';

test('tells a target that has ended from one that only reset a connection', async t => {
	const server = await startRawServer(() => {
		// The probe sends no request.
	});
	t.after(() => {
		server.close();
	});
	expect(await probeTarget(createFleetTarget('up', {address: server.address}))).toEqual('up');
	expect(await probeTarget(createFleetTarget('down', {address: await findClosedAddress()}))).toEqual('down');
});
