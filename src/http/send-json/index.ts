/** Sends JSON responses. */

import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';
import {formatErrorBody, type RouterError} from '../../results/create-router-error/index.js';

/** Sends `body` as JSON and ends the response. Returns the size of the body in bytes. */
export function sendJson(response: ServerResponse, status: number, body: unknown, headers: OutgoingHttpHeaders = {}): number {
	const text = JSON.stringify(body);
	const bodyBytes = Buffer.byteLength(text);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': bodyBytes, ...headers});
	response.end(text);
	return bodyBytes;
}

/** Sends `error` in the error format of model APIs, with its result code in a header as well. */
export function sendError(response: ServerResponse, error: RouterError, headers: OutgoingHttpHeaders = {}): void {
	const allHeaders: OutgoingHttpHeaders = {'x-result-code': String(error.entry.code), ...headers};
	if (error.notRun) {
		allHeaders['x-not-run'] = 'true';
	}

	if (error.retryAfterSeconds !== undefined) {
		allHeaders['retry-after'] = String(Math.max(1, Math.ceil(error.retryAfterSeconds)));
	}

	sendJson(response, error.entry.httpStatus, formatErrorBody(error), allHeaders);
}
