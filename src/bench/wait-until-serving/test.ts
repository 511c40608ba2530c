import {createServer} from 'node:http';
import {test} from 'node:test';
import {expect} from 'earl';
import {findClosedAddress} from '../../fixtures/start-test-gateway/index.js';
import {listenLocally} from '../../http/listen-locally/index.js';
import {waitUntilServing} from './index.js';

const timeoutMs = 300;
/** Time in which a daemon that serves is noticed even on a busy machine, in milliseconds. */
const startTimeoutMs = 5000;

/** Waits for a server that answers with the given statuses in turn, the last one for ever. */
async function waitForStatuses(statuses: readonly number[], limitMs = timeoutMs): Promise<void> {
	let requests = 0;
	const server = createServer((_message, response) => {
		response.statusCode = statuses[Math.min(requests, statuses.length - 1)]!;
		requests += 1;
		response.end('no target');
	});
	const address = await listenLocally(server);
	try {
		await waitUntilServing({address, secret: 'secret', timeoutMs: limitMs});
	} finally {
		server.closeAllConnections();
		server.close();
	}
}

test('guards against a benchmark that waits for ever for a daemon which answers with an error', async () => {
	await expect(waitForStatuses([503])).toBeRejectedWith(/did not serve within 300 ms; last answer: status 503: no target/u);
});

test('guards against a benchmark that waits for ever for a daemon which does not answer', async () => {
	const server = createServer(() => {
		// Never answers.
	});
	const address = await listenLocally(server);
	await expect(waitUntilServing({address, secret: 'secret', timeoutMs})).toBeRejectedWith(/did not serve within 300 ms; last answer: none/u);
	server.closeAllConnections();
	server.close();
	await expect(waitUntilServing({address: await findClosedAddress(), secret: 'secret', timeoutMs})).toBeRejectedWith(/ECONNREFUSED/u);
});

test('waits until the daemon serves', async () => {
	await waitForStatuses([503, 200], startTimeoutMs);
});
