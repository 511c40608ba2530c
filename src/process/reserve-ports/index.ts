/** Finds free ports on the loopback address. */

import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';

// Below the range from which the operating system takes ports for outgoing connections, so that none of
// these occupies a port between its reservation and its use.
const lowestPort = 12_000;
const highestPort = 32_000;
const maximumAttempts = 100;

/** Returns `count` distinct ports that were free just now. */
export async function reservePorts(count: number): Promise<number[]> {
	const reserved = new Map<number, Server>();
	for (let attempt = 0; reserved.size < count && attempt < count + maximumAttempts; attempt += 1) {
		const port = randomInt(lowestPort, highestPort);
		const server = reserved.has(port) ? undefined : await openPort(port);
		if (server !== undefined) {
			reserved.set(port, server);
		}
	}

	await Promise.all([...reserved.values()].map(async server => {
		server.close();
		await once(server, 'close');
	}));
	if (reserved.size < count) {
		throw new Error(`only ${reserved.size} of ${count} ports were free`);
	}

	return [...reserved.keys()];
}

async function openPort(port: number): Promise<Server | undefined> {
	const server = createServer();
	server.listen(port, '127.0.0.1');
	try {
		await once(server, 'listening');
		return server;
	} catch {
		return undefined;
	}
}
