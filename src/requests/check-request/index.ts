/** Checks of the head of a request; each throws a `RouterError`. */

import type {IncomingMessage} from 'node:http';
import {createRouterError} from '../../results/create-router-error/index.js';

const maximumHeaderCount = 100;

/** Demands that a request has no more headers than the limit. */
export function checkHeaderCount(message: IncomingMessage): void {
	if (message.rawHeaders.length / 2 > maximumHeaderCount) {
		throw createRouterError('headersTooLarge', `more than ${maximumHeaderCount} headers`);
	}
}

/** Demands that a request has the given method. */
export function checkMethod(message: IncomingMessage, method: string): void {
	if (message.method !== method) {
		throw createRouterError('methodNotAllowed', `use ${method}`);
	}
}

/** Parses the path and query of a request. */
export function parseRequestUrl(message: IncomingMessage): URL {
	const url = message.url ?? '/';
	if (!url.startsWith('/') || url.startsWith('//') || !URL.canParse(url, 'http://localhost')) {
		throw createRouterError('malformedRequest', 'the path is not valid');
	}

	return new URL(url, 'http://localhost');
}

/** Decodes a percent-encoded segment of a path. */
export function decodePathSegment(text: string): string {
	try {
		return decodeURIComponent(text);
	} catch {
		throw createRouterError('malformedRequest', 'the path is not valid');
	}
}
