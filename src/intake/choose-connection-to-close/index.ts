/** Chooses which connection is closed when a caller connects beyond the limit. */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** `receiving`: a request that has not arrived as a whole, or none yet; `idle`: all requests are answered; `serving`: a call is being served. */
export type ConnectionState = 'receiving' | 'idle' | 'serving';

/** A connection, and since when nothing was read from it or written to it. */
export type QuietConnection<Connection> = {
	readonly connection: Connection;
	readonly state: ConnectionState;
	readonly quietSince: MonotonicMs;
};

/** A connection that was quiet for a shorter time is not closed for a new one, in milliseconds. */
const minimumQuietMs = 1000;

/**
 * Chooses the connection that has been quiet for longest: one that stopped in the middle of a request if there is any, otherwise
 * an idle one. Undefined if all are in use; the new one is to be refused then.
 */
export function chooseConnectionToClose<Connection>(connections: Iterable<QuietConnection<Connection>>, now: MonotonicMs): Connection | undefined {
	const quietest: Partial<Record<ConnectionState, QuietConnection<Connection>>> = {};
	for (const candidate of connections) {
		const {state, quietSince} = candidate;
		const other = quietest[state];
		if (now - quietSince >= minimumQuietMs && (other === undefined || quietSince < other.quietSince)) {
			quietest[state] = candidate;
		}
	}

	return (quietest.receiving ?? quietest.idle)?.connection;
}
