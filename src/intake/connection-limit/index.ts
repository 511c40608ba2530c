/**
 * Bounds the connections of callers. A connection beyond the limit takes the place of one that is quiet, or is refused if none
 * is. How long a connection has been quiet is known from samples, which are taken only while many connections are open.
 */

import type {Socket} from 'node:net';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {chooseConnectionToClose, type ConnectionState, type QuietConnection} from '../choose-connection-to-close/index.js';

/** Share of the limit above which connections are observed. */
const observedShare = 0.5;

/** Bytes that a connection had carried when it was last seen to carry more. */
type Progress = {bytes: number; since: MonotonicMs};

/** Connections of one listener. */
export class ConnectionLimit {
	/** Connections that were closed in favour of new ones, and new ones that were refused, since the start. */
	readonly counts = {closed: 0, refused: 0};
	private readonly connections = new Map<Socket, Progress>();

	/** `readStates` returns the state of each connection on which a request is being received or served. */
	constructor(private readonly maximumConnections: number, private readonly readStates: () => ReadonlyMap<Socket, ConnectionState>) {}

	/** Number of admitted connections that are open. */
	get count(): number {
		return this.connections.size;
	}

	/** Whether so many connections are open that they have to be observed. */
	get isObserving(): boolean {
		return this.count > this.maximumConnections * observedShare;
	}

	/** Admits a connection, or returns false if it has to be refused. May close another one. */
	admit(socket: Socket, now: MonotonicMs): boolean {
		if (this.count >= this.maximumConnections) {
			const quietSocket = chooseConnectionToClose(this.list(), now);
			if (quietSocket === undefined) {
				this.counts.refused += 1;
				return false;
			}

			this.counts.closed += 1;
			this.connections.delete(quietSocket);
			quietSocket.destroy();
		}

		this.connections.set(socket, {bytes: 0, since: now});
		socket.once('close', () => {
			this.connections.delete(socket);
		});
		return true;
	}

	/** Whether the connection was admitted and is open. */
	has(socket: Socket): boolean {
		return this.connections.has(socket);
	}

	/** Notes which connections have carried data since the last time. */
	observe(now: MonotonicMs): void {
		for (const [socket, progress] of this.connections) {
			const bytes = socket.bytesRead + socket.bytesWritten;
			if (bytes !== progress.bytes) {
				Object.assign(progress, {bytes, since: now});
			}
		}
	}

	private * list(): Generator<QuietConnection<Socket>> {
		const states = this.readStates();
		for (const [socket, {bytes, since}] of this.connections) {
			if (socket.bytesRead + socket.bytesWritten === bytes) {
				yield {connection: socket, state: states.get(socket) ?? (socket.bytesRead === 0 ? 'receiving' : 'idle'), quietSince: since};
			}
		}
	}
}
