/** Answers calls that this instance refuses, or that have failed. */

import type {ServerResponse} from 'node:http';
import type {InboundCall} from '../../forwarding/call-types/index.js';
import {abortResponse} from '../../http/abort-response/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {formatErrorBody, type RouterError} from '../../results/create-router-error/index.js';
import type {CallerProtocol} from '../caller-protocol/index.js';

/** Writes error answers, and logs them. */
export class RefusalWriter {
	constructor(private readonly protocol: Pick<CallerProtocol, 'buildErrorHeaders'>, private readonly logger: EventLogger) {}

	/** Ends a call with `error`; breaks off an answer that has begun. `call` is undefined if its head is invalid. */
	refuse(response: ServerResponse, error: RouterError, call: InboundCall | undefined): void {
		this.log(error, call);
		if (response.headersSent || response.destroyed) {
			abortResponse(response);
			return;
		}

		const body = JSON.stringify(formatErrorBody(error));
		response.writeHead(error.entry.httpStatus, [
			...this.protocol.buildErrorHeaders(error, call),
			'content-type',
			'application/json',
			'content-length',
			String(Buffer.byteLength(body)),
		]);
		response.end(body);
	}

	private log(error: RouterError, call: InboundCall | undefined): void {
		const {entry, retryAfterSeconds, cause, message} = error;
		this.logger.info('call refused', {
			id: call?.id, code: entry.code, name: entry.name, status: entry.httpStatus, retryAfter: retryAfterSeconds, path: call?.path,
		});
		if (entry.name === 'internalError') {
			this.logger.error('internal error', {id: call?.id, reason: cause?.stack ?? message});
		}
	}
}
