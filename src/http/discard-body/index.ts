/** Gives up the body of an answer. */

import type {Readable} from 'node:stream';

/**
 * Destroys `body` and with it the connection. A destroyed body that had arrived as a whole emits an error, which
 * would end the process if nobody listened.
 */
export function discardBody(body: Readable): void {
	body.on('error', ignoreError);
	body.destroy();
}

function ignoreError(): void {
	// Nobody reads the body any more.
}
