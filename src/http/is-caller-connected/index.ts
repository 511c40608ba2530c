/** Tells whether the caller of a request that was just read is still there. */

import type {IncomingMessage} from 'node:http';
import {waitForArrivedData} from '../wait-for-arrived-data/index.js';

/**
 * Resolves to whether the caller is still connected, once everything that had arrived from it is read. While the event
 * loop is late, a request can be read long after its caller has given up; without this it would be sent on nevertheless.
 */
export async function isCallerConnected({socket}: IncomingMessage): Promise<boolean> {
	await waitForArrivedData();
	return !socket.destroyed && !socket.readableEnded;
}
