/** Reads request bodies with a limit on their size. */

import type {IncomingMessage} from 'node:http';
import {createRouterError} from '../../results/create-router-error/index.js';

/**
 * Reads the whole body; throws `bodyTooLarge` above `limitBytes`, at once when the stated length is above it.
 * The connection is left open, so that the error can be answered.
 */
export async function readBody(message: IncomingMessage, limitBytes: number): Promise<Buffer> {
	const createError = () => createRouterError('bodyTooLarge', `more than ${limitBytes} bytes`);
	if (Number(message.headers['content-length'] ?? 0) > limitBytes) {
		throw createError();
	}

	return new Promise((resolve, reject) => {
		const chunks: Buffer[] = [];
		let size = 0;
		const onData = (chunk: Buffer) => {
			size += chunk.length;
			if (size > limitBytes) {
				message.off('data', onData);
				message.pause();
				reject(createError());
				return;
			}

			chunks.push(chunk);
		};

		message.on('data', onData);
		message.once('end', () => {
			resolve(Buffer.concat(chunks, size));
		});
		message.once('error', error => {
			reject(createRouterError('malformedRequest', 'the body broke off', {cause: error}));
		});
		message.once('close', () => {
			// Errors are costly to create, and this event also follows each complete body.
			if (!message.complete) {
				reject(createRouterError('malformedRequest', 'the body broke off'));
			}
		});
	});
}

/** Reads the body as JSON; throws `malformedRequest` when it is not. */
export async function readJsonBody(message: IncomingMessage, limitBytes: number): Promise<unknown> {
	const body = await readBody(message, limitBytes);
	try {
		return JSON.parse(body.toString('utf8')) as unknown;
	} catch (error) {
		throw createRouterError('malformedRequest', 'the body is not JSON', {cause: error as Error});
	}
}
