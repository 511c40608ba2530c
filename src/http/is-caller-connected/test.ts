import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {sendAbandonedRequests} from '../../fixtures/send-abandoned-requests/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {callService} from '../../standin/call-service/index.js';
import {LocalFleet, localSecret} from '../../standin/local-fleet/index.js';

const callCount = 10;
const countRuns = (fleet: LocalFleet) => fleet.services.reduce((sum, service) => sum + service.runs.size, 0);
const ways = (['close', 'reset'] as const).flatMap(leave => [true, false].map(isAccepted => ({leave, isAccepted})));

test('guards against sending calls whose callers have left before they were read', async () => {
	let sent = 0;
	const server = await startRawServer(() => {
		sent += 1;
	});
	const descriptions = [createDescription('t0', {address: server.address, weightsVersions: new Map()})];
	const gateway = await startTestGateway(createRoutingConfiguration({routes: [createRoute('r', {host: '127.0.0.1'})]}), descriptions);
	const requests = Array.from({length: callCount}, (_, index) => `POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nx-id: c${index}\r\nContent-Length: 4\r\n\r\nbody`);
	try {
		for (const way of ways) {
			await sendAbandonedRequests(gateway.address, {requests, ...way});
			expect({...way, sent}).toEqual({...way, sent: 0});
		}

		expect(gateway.reports.every(report => report.outcome === 'callerGone')).toEqual(true);
		expect(gateway.listener.callsInProgress).toEqual(0);
	} finally {
		gateway.close();
		server.close();
	}
});

test('guards against a daemon that sends calls whose callers have left before they were read', async () => {
	const fleet = await new LocalFleet({engines: 0}).start();
	const requests = Array.from({length: callCount}, (_, index) => `PUT /orders/book HTTP/1.1\r\nHost: 127.0.0.1\r\nauthorization: Bearer ${localSecret}\r\nx-call-id: c${index}\r\nContent-Length: 4\r\n\r\nbody`);
	try {
		// Calls on connections that are open already are written in the same turn of the event loop in which they are read.
		await Promise.all(requests.map(async (_, index) => callService({
			address: fleet.address, secret: localSecret, method: 'PUT', path: '/orders/book', callId: `sound${index}`,
		})));
		const soundRuns = countRuns(fleet);
		for (const way of ways) {
			await sendAbandonedRequests(fleet.address, {requests, ...way});
			const runs = countRuns(fleet) - soundRuns;
			expect({...way, runs}).toEqual({...way, runs: 0});
		}
	} finally {
		await fleet.stop();
	}
});
