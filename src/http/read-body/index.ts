/** Reads request bodies with a limit on their size. */

import type {IncomingMessage} from 'node:http';
import {createRouterError} from '../../results/create-router-error/index.js';
import {ByteCollector} from '../../streams/byte-collector/index.js';

/**
 * Reads the whole body; throws `bodyTooLarge` above `limitBytes`, at once if the `content-length` header exceeds it.
 * The connection stays open, so that an error response can be sent.
 */
export async function readBody(message: IncomingMessage, limitBytes: number): Promise<Buffer> {
	const createSizeError = () => createRouterError('bodyTooLarge', `more than ${limitBytes} bytes`);
	if (Number(message.headers['content-length'] ?? 0) > limitBytes) {
		throw createSizeError();
	}

	return new Promise((resolve, reject) => {
		const collector = new ByteCollector();
		const onData = (chunk: Buffer) => {
			if (collector.sizeBytes + chunk.length > limitBytes) {
				message.off('data', onData);
				message.pause();
				reject(createSizeError());
				return;
			}

			collector.add(chunk);
		};

		message.on('data', onData);
		message.once('end', () => {
			resolve(collector.take());
		});
		message.once('error', error => {
			reject(createRouterError('malformedRequest', 'the body broke off', {cause: error}));
		});
		message.once('close', () => {
			// Creating an error is expensive, and this event also follows each complete body.
			if (!message.complete) {
				reject(createRouterError('malformedRequest', 'the body broke off'));
			}
		});
	});
}

/** Reads the body as JSON; throws `malformedRequest` if it is not valid JSON. */
export async function readJsonBody(message: IncomingMessage, limitBytes: number): Promise<unknown> {
	return parseJsonBody(await readBody(message, limitBytes));
}

/** Parses a body as JSON; throws `malformedRequest` if it is not valid JSON. */
export function parseJsonBody(body: Buffer): unknown {
	try {
		return JSON.parse(body.toString('utf8')) as unknown;
	} catch (error) {
		throw createRouterError('malformedRequest', 'the body is not JSON', {cause: error as Error});
	}
}
