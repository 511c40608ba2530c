/**
 * Waits until what has already arrived on the connections of this process is read.
 *
 * When the event loop is late, timers run before connections are read. What a timer then takes for silence of the other side
 * can be data that waits unread.
 */

import {setImmediate as nextTurn} from 'node:timers/promises';

/**
 * Turns of the event loop after which everything that had arrived is read. The end of a connection that arrived together with
 * data is read a turn after it.
 */
const turnsUntilRead = 2;

/** Resolves when everything that had arrived before the call has been read. */
export async function waitForArrivedData(): Promise<void> {
	for (let turn = 0; turn < turnsUntilRead; turn += 1) {
		await nextTurn();
	}
}
