/** Bounds the connections of a server that answers each request without waiting for others. */

import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';

/** Maximum time for a request to arrive, in milliseconds. */
const requestTimeoutMs = 30_000;
const connectionCheckIntervalMs = 1000;
/** Bytes of a body that such a server reads and drops; its requests have none. */
export const maximumDiscardedBytes = 64 * 1024;

/** Options of an HTTP server that answers at once. */
export const briefRequests = {
	headersTimeout: requestTimeoutMs, requestTimeout: requestTimeoutMs, connectionsCheckingInterval: connectionCheckIntervalMs,
} as const;

/** Closes the connection that has been without a request for longest whenever more than `maximumConnections` are open. */
export function limitConnections(server: Server, maximumConnections: number): void {
	/** Open connections, the one with the latest request last. */
	const sockets = new Set<Socket>();
	server.on('connection', socket => {
		if (sockets.size >= maximumConnections) {
			const [oldest] = sockets;
			sockets.delete(oldest!);
			oldest!.destroy();
		}

		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	server.on('request', ({socket}: IncomingMessage) => {
		if (sockets.delete(socket)) {
			sockets.add(socket);
		}
	});
}
