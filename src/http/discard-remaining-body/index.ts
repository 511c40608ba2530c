/** Reads and discards what is left of a request, because closing a connection with unread bytes resets it and loses the answer. */

import type {IncomingMessage} from 'node:http';

/** Time for which the remaining body is read, in milliseconds. */
const discardTimeoutMs = 1000;

/** Discards the rest of the body for a limited time, then the connection. */
export function discardRemainingBody(message: IncomingMessage): void {
	if (message.complete || message.destroyed) {
		return;
	}

	message.resume();
	const timer = setTimeout(() => {
		message.destroy();
	}, discardTimeoutMs);
	message.once('close', () => {
		clearTimeout(timer);
	});
}
