/**
 * Sends the head of a response that is passed on from a target.
 *
 * A body without length goes to the caller in chunks, also if the target delimits it by the end of its connection. The
 * kernel closes the connections of a killed process in order, so only a missing last chunk shows that a body is incomplete.
 */

import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';

/** Head of a response to a caller. */
export type OutgoingHead = {
	readonly status: number;
	/** As an object, or as alternating names and values. */
	readonly headers: OutgoingHttpHeaders | readonly string[];
};

/** Sends the head at once, before any part of the body is known. */
export function beginResponse(response: ServerResponse, {status, headers}: OutgoingHead): void {
	response.writeHead(status, headers as OutgoingHttpHeaders);
	response.flushHeaders();
}
