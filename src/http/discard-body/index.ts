/** Discards the body of a response. */

import type {Readable} from 'node:stream';

/**
 * Destroys `body` and its connection. A body that is destroyed after it was received completely emits an error,
 * which would end the process if there were no listener.
 */
export function discardBody(body: Readable): void {
	body.on('error', ignoreError);
	body.destroy();
}

function ignoreError(): void {
	// The body is no longer needed.
}
