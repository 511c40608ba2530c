/** Finds free ports on the loopback address. */

import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';

// Below the operating system's ephemeral ports, so that no outgoing connection occupies a port between its
// reservation and its use.
const lowestPort = 12_000;
const highestPort = 32_000;
const maximumExtraAttempts = 100;

/** Returns `count` distinct ports that were all free at the same time. */
export async function reservePorts(count: number): Promise<number[]> {
	const reserved = new Map<number, Server>();
	for (let attempt = 0; reserved.size < count && attempt < count + maximumExtraAttempts; attempt += 1) {
		const port = randomInt(lowestPort, highestPort);
		const server = reserved.has(port) ? undefined : await listenOnPort(port);
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

async function listenOnPort(port: number): Promise<Server | undefined> {
	const server = createServer();
	server.listen(port, '127.0.0.1');
	try {
		await once(server, 'listening');
		return server;
	} catch {
		return undefined;
	}
}
