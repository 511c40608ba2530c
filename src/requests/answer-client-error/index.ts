/** Error responses on connections without a valid request: malformed, oversized, too slow, incomplete, or over the connection limit. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import {createRouterError, formatErrorBody, type RouterError} from '../../results/create-router-error/index.js';

/** A request that is being received or answered, with its response. */
export type OpenExchange = {readonly message: IncomingMessage; readonly response: ServerResponse};

/** Time between the end of the response and the destruction of the connection, for the caller to read the response. */
const lingerMs = 1000;

/** Converts a `clientError` of Node's HTTP server. */
export function convertClientError(error: NodeJS.ErrnoException): RouterError {
	if (error.code === 'HPE_HEADER_OVERFLOW') {
		return createRouterError('headersTooLarge');
	}

	if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') {
		return createRouterError('requestTimeout');
	}

	const detail = error.code === 'HPE_INVALID_EOF_STATE' ? 'the connection was closed before the request was complete' : error.message;
	return createRouterError('malformedRequest', detail);
}

/**
 * Responds to a client error on `socket`, and closes the connection. If the response to an earlier request on the
 * connection is still being sent, it is completed and the error is not reported: its bytes would corrupt that response.
 */
export function answerClientError(error: NodeJS.ErrnoException, socket: Duplex, exchanges: ReadonlySet<OpenExchange>): void {
	if (error.code === 'ECONNRESET' || socket.destroyed || !socket.writable) {
		socket.destroy();
		return;
	}

	const openExchange = [...exchanges].findLast(exchange => exchange.message.complete && !exchange.response.writableFinished);
	if (openExchange !== undefined) {
		openExchange.response.once('finish', () => {
			endConnection(socket);
		});
		return;
	}

	sendRawError(socket, convertClientError(error));
}

/** Writes an error response to a connection without a request, and closes the connection. */
export function sendRawError(socket: Duplex, error: RouterError): void {
	const body = JSON.stringify(formatErrorBody(error));
	const lines = [
		`HTTP/1.1 ${error.entry.httpStatus} Error`,
		'content-type: application/json',
		`content-length: ${Buffer.byteLength(body)}`,
		`x-result-code: ${error.entry.code}`,
		...(error.notRun ? ['x-not-run: true'] : []),
		...(error.retryAfterSeconds === undefined ? [] : [`retry-after: ${Math.max(1, Math.ceil(error.retryAfterSeconds))}`]),
		'connection: close',
	];
	socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
	endConnection(socket);
}

/**
 * Closes the sending side, and discards incoming data for `lingerMs` before the socket is destroyed. Closing a socket
 * with unread data sends a TCP reset, which can reach the caller before the response does.
 */
export function endConnection(socket: Duplex): void {
	socket.on('error', () => {
		socket.destroy();
	});
	socket.end();
	socket.resume();
	const timer = setTimeout(() => {
		socket.destroy();
	}, lingerMs);
	socket.once('close', () => {
		clearTimeout(timer);
	});
}
