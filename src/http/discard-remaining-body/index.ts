/** Reads and discards what is left of a request, because closing a connection with unread bytes resets it and loses the answer. */

import type {IncomingMessage} from 'node:http';

/** Time for which the remaining body is read, in milliseconds. */
const discardTimeoutMs = 1000;
/** Limit where the size of a legal body is not known. */
const defaultMaximumBytes = 4 * 1024 * 1024;

/** Discards the rest of the body up to `maximumBytes` and for a limited time, then the connection. */
export function discardRemainingBody(message: IncomingMessage, maximumBytes = defaultMaximumBytes): void {
	if (message.complete || message.destroyed) {
		return;
	}

	let remainingBytes = maximumBytes;
	message.on('data', (chunk: Buffer) => {
		remainingBytes -= chunk.length;
		if (remainingBytes < 0) {
			message.destroy();
		}
	});
	message.resume();
	const timer = setTimeout(() => {
		message.destroy();
	}, discardTimeoutMs);
	message.once('close', () => {
		clearTimeout(timer);
	});
}
