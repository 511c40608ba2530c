/**
 * Closes the connections of an HTTP server that have been idle for longer than the limit in force.
 *
 * Node.js sets the timer of a connection when an answer ends and closes it when the timer fires. A limit that is raised later
 * would not reach connections that are idle then. And timers run before sockets are read, so after a late turn of the event
 * loop a connection would be closed whose next request has arrived and waits unread.
 */

import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../../clock/clock/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {waitForArrivedData} from '../wait-for-arrived-data/index.js';

/** Time beyond the limit for which a connection stays open, in milliseconds; a request can be under way when the limit passes. */
const closingMarginMs = 1000;

/** A connection since its last answer. */
type IdleConnection = {
	readonly since: MonotonicMs;
	/** Bytes read from it until then; more of them are of a next request. */
	readonly readBytes: number;
};

/** Handles the timers of idle connections in place of Node.js. */
export class IdleConnections {
	private readonly connections = new WeakMap<Socket, IdleConnection>();

	constructor(private readonly server: Server, private readonly clock: Pick<Clock, 'readMonotonic'>) {
		server.on('timeout', (socket: Socket) => {
			void this.handleTimeout(socket);
		});
	}

	/** Sets the limit, in milliseconds. Connections that are idle stay open for it as well if it is longer than before. */
	setLimit(limitMs: number): void {
		this.server.keepAliveTimeout = limitMs;
	}

	/** Counts the connection of `response` as idle once the response has ended. */
	follow(response: ServerResponse): void {
		const {socket} = response.req;
		response.once('close', () => {
			this.connections.set(socket, {since: this.clock.readMonotonic(), readBytes: socket.bytesRead});
		});
	}

	private async handleTimeout(socket: Socket): Promise<void> {
		await waitForArrivedData();
		const connection = this.connections.get(socket);
		if (connection === undefined || socket.bytesRead > connection.readBytes || socket.destroyed) {
			return;
		}

		const remainingMs = calculateRemainingMs(connection.since, this.server.keepAliveTimeout, this.clock.readMonotonic());
		if (remainingMs > 0) {
			socket.setTimeout(remainingMs);
		} else {
			socket.destroy();
		}
	}
}

/** Calculates for how much longer a connection that is idle since `since` stays open, in milliseconds. */
function calculateRemainingMs(since: MonotonicMs, limitMs: number, now: MonotonicMs): number {
	return since + limitMs + closingMarginMs - now;
}
