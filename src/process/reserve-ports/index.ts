/** Finds free ports on the loopback address. */

import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import VError from 'verror';

/**
 * Range below the ports that the system gives to outgoing connections. A port from that range could
 * be taken by a connection between its reservation and its use.
 */
const lowestPort = 10_000;
const highestPort = 32_000;
const attemptsPerPort = 50;

/** Returns `count` distinct ports that were free just now. */
export async function reservePorts(count: number): Promise<number[]> {
	const servers = new Map<number, Server>();
	for (let attempt = 0; servers.size < count; attempt += 1) {
		if (attempt === attemptsPerPort * count) {
			throw new VError('no %d free ports from %d to %d', count, lowestPort, highestPort);
		}

		const port = randomInt(lowestPort, highestPort);
		const server = servers.has(port) ? undefined : await tryListening(port);
		if (server !== undefined) {
			servers.set(port, server);
		}
	}

	await Promise.all([...servers.values()].map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return [...servers.keys()];
}

async function tryListening(port: number): Promise<Server | undefined> {
	const server = createServer().listen(port, '127.0.0.1');
	try {
		await once(server, 'listening');
		return server;
	} catch {
		return undefined;
	}
}
