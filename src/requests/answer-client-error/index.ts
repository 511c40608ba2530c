/** Answers callers whose bytes never became a request: malformed, oversized, too slow, cut off, or surplus. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import {createRouterError, formatErrorBody, type RouterError} from '../../results/create-router-error/index.js';

/** The request on a connection that is being received or answered. */
export type OpenExchange = {readonly message: IncomingMessage; readonly response: ServerResponse};

/** Time that the caller has to read the error before its connection is destroyed, in milliseconds. */
const lingerMs = 1000;

/** Converts an error of Node's HTTP parser. */
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
 * Answers a client error on `socket`. An answer that is under way to an earlier request of the same connection is
 * finished first and alone, so that the error cannot land in the middle of it.
 */
export function answerClientError(error: NodeJS.ErrnoException, socket: Duplex, exchanges: ReadonlySet<OpenExchange>): void {
	if (error.code === 'ECONNRESET' || socket.destroyed || !socket.writable) {
		socket.destroy();
		return;
	}

	const answered = [...exchanges].findLast(exchange => exchange.message.complete && !exchange.response.writableFinished);
	if (answered !== undefined) {
		answered.response.once('finish', () => {
			endConnection(socket);
		});
		return;
	}

	sendRawError(socket, convertClientError(error));
}

/** Writes an error answer to a connection without a request, and closes it. */
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
 * Closes the sending side and drops what still arrives for a moment. Closing at once with unread bytes would send a
 * reset, which can overtake the answer.
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
