import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {parseAddress} from '../../http/parse-address/index.js';

/** Time for which the event loop is kept busy, so that calls and the ends of their connections wait together, in milliseconds. */
const busyMs = 30;
const callCount = 10;

/** Keeps the event loop busy. */
function blockEventLoop(): void {
	const end = performance.now() + busyMs;
	while (performance.now() < end) {
		// Nothing else runs meanwhile.
	}
}

/** Sends calls whose callers all leave in the way given before the gateway reads them; returns how many reach the target. */
async function countSent(leave: 'close' | 'reset', isConnectedBefore: boolean): Promise<number> {
	let sent = 0;
	const server = await startRawServer(() => {
		sent += 1;
	});
	const descriptions = [createDescription('t0', {address: server.address, weightsVersions: new Map()})];
	const gateway = await startTestGateway(createRoutingConfiguration({routes: [createRoute('r', {host: '127.0.0.1'})]}), descriptions);
	const sockets = Array.from({length: callCount}, () => connect(parseAddress(gateway.address)));
	try {
		await Promise.all(sockets.map(async socket => once(socket, 'connect')));
		if (isConnectedBefore) {
			await delay(busyMs);
		}

		for (const [index, socket] of sockets.entries()) {
			socket.write(`POST /x HTTP/1.1\r\nHost: 127.0.0.1\r\nx-id: c${index}\r\nContent-Length: 4\r\n\r\nbody`);
			if (leave === 'close') {
				socket.destroy();
			} else {
				socket.resetAndDestroy();
			}
		}

		blockEventLoop();
		await delay(200);
		return sent;
	} finally {
		gateway.close();
		server.close();
	}
}

test('guards against sending calls whose callers have left before they were read', async () => {
	expect(await countSent('close', true)).toEqual(0);
	expect(await countSent('reset', true)).toEqual(0);
	expect(await countSent('close', false)).toEqual(0);
	expect(await countSent('reset', false)).toEqual(0);
});
