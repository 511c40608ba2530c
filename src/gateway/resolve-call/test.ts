import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {test, type TestContext} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createOrganisation, createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import type {RoutingConfiguration, ServiceId} from '../../routing/routing-types/index.js';

function createConfiguration(service: string, key: string): RoutingConfiguration {
	return createRoutingConfiguration({
		routes: [createRoute('r', {host: 'h', kind: 'nonIdempotent', shares: [{service: service as ServiceId, weight: 1}]})],
		organisations: [createOrganisation('org', {keyHashes: [hashKey(key)]})],
	});
}

/** Sends a call whose body arrives only after `changed` has come into force; returns the status line and body of its answer. */
async function sendSlowBody(t: TestContext, changed: RoutingConfiguration): Promise<string> {
	const targets = await Promise.all(['service-1', 'service-2'].map(async service => {
		const server = await startRawServer((socket, head) => {
			const id = /x-id: (\S+)/u.exec(head)?.[1];
			socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nContent-Length: ${service.length}\r\n\r\n${service}`);
		});
		t.after(() => {
			server.close();
		});
		return createDescription(service, {address: server.address, service: service as ServiceId, weightsVersions: new Map()});
	}));
	const gateway = await startTestGateway(createConfiguration('service-1', 'key-1'), targets);
	t.after(() => {
		gateway.close();
	});
	const socket = connect(parseAddress(gateway.address));
	let received = '';
	socket.on('data', data => {
		received += data.toString('latin1');
	});
	socket.write('POST /x HTTP/1.1\r\nHost: h\r\nx-id: c1\r\nx-key: key-1\r\nContent-Length: 4\r\n\r\nbo');
	await delay(50);
	gateway.apply(changed);
	socket.write('dy');
	await delay(300);
	socket.destroy();
	return received;
}

test('guards against a call that is served as an earlier configuration says because its body arrived slowly', async t => {
	const moved = await sendSlowBody(t, createConfiguration('service-2', 'key-1'));
	expect(moved.includes('service-2')).toEqual(true);
	const withdrawn = await sendSlowBody(t, createConfiguration('service-1', 'key-2'));
	expect(withdrawn.startsWith('HTTP/1.1 401')).toEqual(true);
});
