/**
 * Keeps callers' keys from targets. Headers and query parameters that contain a key are removed. A body or path that
 * contains one is refused: removing a field would silently change what the caller asked for.
 */

import type {IncomingHttpHeaders} from 'node:http';
import type {Configuration} from '../../configuration/configuration/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';

const hopHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'upgrade', 'te', 'trailer', 'expect', 'host', 'content-length',
]);
const secretHeaders = new Set(['authorization', 'x-api-key', 'cookie', 'proxy-authorization']);

/** Deepest nesting of a body. Deeper ones would exhaust the stack when they are formatted again. */
const deepestNesting = 100;

/** Whether any string in `value`, names of fields included, contains `secret`; throws `malformedRequest` on a nesting that is too deep. */
export function containsSecret(value: unknown, secret: string | undefined): boolean {
	const hasSecret = (text: string) => secret !== undefined && text.includes(secret);
	let level: unknown[] = [value];
	for (let depth = 0; level.length > 0; depth += 1) {
		if (depth > deepestNesting) {
			throw createRouterError('malformedRequest', `the body is nested more than ${deepestNesting} levels deep`);
		}

		const next: unknown[] = [];
		for (const item of level) {
			if (typeof item === 'string' && hasSecret(item)) {
				return true;
			}

			if (Array.isArray(item)) {
				appendAll(next, item);
			} else if (typeof item === 'object' && item !== null) {
				appendAll(next, Object.keys(item));
				appendAll(next, Object.values(item));
			}
		}

		level = next;
	}

	return false;
}

function appendAll(target: unknown[], items: readonly unknown[]): void {
	for (const item of items) {
		target.push(item);
	}
}

/** Throws `malformedRequest` when `body` contains `secret`. */
export function refuseSecrets(body: unknown, secret: string | undefined): void {
	if (containsSecret(body, secret)) {
		throw createRouterError('malformedRequest', 'the body contains the caller\'s key; send it in the header only');
	}
}

/** Throws `malformedRequest` when the raw `body` contains `secret`, literally or within escapes of JSON or of a form. */
export function refuseSecretBytes(body: Buffer, contentType: string | undefined, secret: string | undefined): void {
	if (secret === undefined || body.length === 0) {
		return;
	}

	const isFound = body.includes(secret)
		|| ((contentType ?? '').includes('json') && body.includes('\\') && containsSecret(parseLeniently(body), secret))
		|| ((contentType ?? '').includes('form') && body.includes('%') && containsSecret([...new URLSearchParams(body.toString('utf8'))], secret));
	if (isFound) {
		throw createRouterError('malformedRequest', 'the body contains the caller\'s key; send it in the header only');
	}
}

/** Headers that a target may see: none of one connection only, and none that carries a key. */
export function filterHeaders(headers: IncomingHttpHeaders, isSecret: (value: string) => boolean): Record<string, string | string[]> {
	const kept: Record<string, string | string[]> = {};
	const named = new Set((headers.connection ?? '').toLowerCase().split(',').map(name => name.trim()));
	for (const [name, value] of Object.entries(headers)) {
		const isDropped = hopHeaders.has(name) || named.has(name) || secretHeaders.has(name);
		if (value !== undefined && !isDropped && ![value].flat().some(isSecret)) {
			kept[name] = value;
		}
	}

	return kept;
}

/** Headers of a target's answer that the caller may see; statements about running the call are the router's own. */
export function filterAnswerHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
	const kept = Object.entries(headers)
		.filter(([name, value]) => value !== undefined && !(hopHeaders.has(name) && name !== 'content-length') && name !== 'x-not-run' && name !== 'x-result-code');
	return Object.fromEntries(kept) as Record<string, string | string[]>;
}

/** The path and query without parameters that contain a key; throws `malformedRequest` when the path itself contains one. */
export function filterPath(url: string, isSecret: (value: string) => boolean): string {
	const separator = url.indexOf('?');
	const path = separator === -1 ? url : url.slice(0, separator);
	if (path.split('/').some(part => isSecret(decodeLeniently(part)))) {
		throw createRouterError('malformedRequest', 'the path contains the caller\'s key; send it in the header only');
	}

	if (separator === -1) {
		return url;
	}

	const kept = url.slice(separator + 1).split('&')
		.filter(parameter => !parameter.split('=').some(part => isSecret(decodeLeniently(part.replaceAll('+', ' ')))));
	return kept.length === 0 ? path : `${path}?${kept.join('&')}`;
}

/**
 * Creates the test for values that may not leave: those that contain the presented `secret`, and those that are, as a
 * whole or after an authentication scheme, any known key. A caller may have put its key into the wrong place.
 */
export function createSecretTest(configuration: Configuration, secret: string | undefined): (value: string) => boolean {
	return value => {
		if (secret !== undefined && value.includes(secret)) {
			return true;
		}

		const candidate = value.trim();
		const word = /^\S+\s+(\S+)$/u.exec(candidate)?.[1];
		return [candidate, word].some(text => text !== undefined && text !== '' && configuration.findKey(hashKey(text)) !== undefined);
	};
}

function decodeLeniently(text: string): string {
	try {
		return decodeURIComponent(text);
	} catch {
		return text;
	}
}

function parseLeniently(body: Buffer): unknown {
	try {
		return JSON.parse(body.toString('utf8')) as unknown;
	} catch {
		return undefined;
	}
}
