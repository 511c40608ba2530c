/** Sends JSON answers. */

import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import {formatErrorBody, type RouterError} from '../../results/create-router-error/index.js';

/** Sends `body` as JSON and ends the answer. Returns the bytes of the body. */
export function sendJson(response: ServerResponse, status: number, body: unknown, headers: OutgoingHttpHeaders = {}): number {
	const text = JSON.stringify(body);
	const bytes = Buffer.byteLength(text);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': bytes, ...headers});
	response.end(text);
	return bytes;
}

/** Sends `error` in the usual shape of model APIs, with its result code in a header as well. */
export function sendError(response: ServerResponse, error: RouterError, headers: OutgoingHttpHeaders = {}): void {
	const all: OutgoingHttpHeaders = {'x-result-code': String(error.entry.code), ...headers};
	if (error.notRun) {
		all['x-not-run'] = 'true';
	}

	if (error.retryAfterSeconds !== undefined) {
		all['retry-after'] = String(Math.max(1, Math.ceil(error.retryAfterSeconds)));
	}

	sendJson(response, error.entry.httpStatus, formatErrorBody(error), all);
}
