/**
 * Ends a response that cannot be completed. The end of the connection completes a body without chunks and length, such
 * as one to a caller of HTTP/1.0; only a reset of the connection shows that it was broken off.
 */

import type {ServerResponse} from 'node:http';

/** Closes the connection of `response` in such a way that the part sent so far cannot look complete. */
export function abortResponse(response: ServerResponse): void {
	if (response.headersSent && !response.chunkedEncoding && !response.writableFinished) {
		response.socket?.resetAndDestroy();
	}

	response.destroy();
}
