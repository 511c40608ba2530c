/** Tells whether the caller of a request that was just read is still there. */

import type {IncomingMessage} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** Turns of the event loop after which the end of a connection is read that arrived together with a request: the end follows the data, a turn later. */
const turnsUntilEnd = 2;

/**
 * Resolves to whether the caller is still connected, once everything that had arrived from it is read. While the event
 * loop is late, a request can be read long after its caller has given up; without this it would be sent on nevertheless.
 */
export async function isCallerConnected({socket}: IncomingMessage): Promise<boolean> {
	for (let turn = 0; turn < turnsUntilEnd; turn += 1) {
		await nextTurn();
	}

	return !socket.destroyed && !socket.readableEnded;
}
