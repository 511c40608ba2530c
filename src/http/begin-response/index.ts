/** Sends the head of a response that is passed on from a target. */

import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';

/** Head of a response to a caller. */
export type OutgoingHead = {
	readonly status: number;
	/** As an object, or as alternating names and values. */
	readonly headers: OutgoingHttpHeaders | readonly string[];
	/** Whether the end of the connection delimits the body, as it did at the target. */
	readonly isUnframed: boolean;
};

/** Sends the head. The end of an unframed body doesn't prove that it is complete, so it gets no final chunk, which would claim that it is. */
export function beginResponse(response: ServerResponse, {status, headers, isUnframed}: OutgoingHead): void {
	if (isUnframed) {
		response.useChunkedEncodingByDefault = false;
		response.shouldKeepAlive = false;
	}

	response.writeHead(status, headers as OutgoingHttpHeaders);
	response.flushHeaders();
}
