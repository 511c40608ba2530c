/** End of a listening socket without resetting the callers that it has already let connect. */

import type {Server} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Turns of the event loop without a new connection after which none is taken to wait. The first one can begin after its poll for connections. */
const quietTurns = 2;
/** Turns of the event loop after which the socket is closed although connections still arrive. */
const maximumTurns = 2000;

/**
 * Stops listening after the connections that wait in the accept queue are accepted. The operating system resets those
 * that still wait when the socket closes, and Node.js accepts one connection a turn of the event loop.
 */
export async function stopListening(server: Server): Promise<void> {
	let quiet = 0;
	const noteConnection = () => {
		quiet = 0;
	};

	server.on('connection', noteConnection);
	for (let turn = 0; turn < maximumTurns && quiet < quietTurns; turn += 1) {
		quiet += 1;
		await nextTurn();
	}

	server.off('connection', noteConnection);
	server.close();
}
