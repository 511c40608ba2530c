import {test} from 'node:test';
import {expect} from 'earl';
import {sendAbandonedRequests} from '../../fixtures/send-abandoned-requests/index.js';
import {callService} from '../../standin/call-service/index.js';
import {LocalFleet, localSecret} from '../../standin/local-fleet/index.js';

const callCount = 10;
const countRuns = (fleet: LocalFleet) => fleet.services.reduce((sum, service) => sum + service.runs.size, 0);
const ways = (['close', 'reset'] as const).flatMap(leave => [true, false].map(isAccepted => ({leave, isAccepted})));

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
