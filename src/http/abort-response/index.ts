/**
 * Ends a response that cannot be completed. The end of the connection completes a body without chunks and length, such
 * as one to a caller of HTTP/1.0; only a reset of the connection shows that it was broken off. The same holds for a body in
 * chunks whose caller has ended its side: a zero of a probe may precede its end, see `CallerWatch`.
 */

import type {ServerResponse} from 'node:http';

/** Closes the connection of `response` in such a way that the part sent so far cannot look complete. */
export function abortResponse(response: ServerResponse): void {
	const endsInChunk = response.chunkedEncoding && !response.req.socket.readableEnded;
	if (response.headersSent && !endsInChunk && !response.writableFinished) {
		response.socket?.resetAndDestroy();
	}

	response.destroy();
}
