/**
 * Prevents callers' API keys from reaching targets. Headers and query parameters that contain a key are removed. A
 * request whose body or path contains one is rejected, since removing a field would silently change the request.
 */

import type {IncomingHttpHeaders} from 'node:http';
import type {Configuration} from '../../configuration/configuration/index.js';
import {hopByHopHeaders, parseConnectionOptions} from '../../http/hop-by-hop-headers/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';

/** Headers that the HTTP client and server of each connection set themselves. */
const ownHeaders: ReadonlySet<string> = new Set([...hopByHopHeaders, 'host', 'content-length']);
const secretHeaders = new Set(['authorization', 'x-api-key', 'cookie', 'proxy-authorization']);

/** Maximum nesting depth of a JSON body. Serialising a deeper one would overflow the stack. */
const maximumNestingDepth = 100;

/** Whether any string in `value`, including field names, contains `secret`; throws `malformedRequest` if `value` is nested too deeply. */
export function containsSecret(value: unknown, secret: string | undefined): boolean {
	const hasSecret = (text: string) => secret !== undefined && text.includes(secret);
	let level: unknown[] = [value];
	for (let depth = 0; level.length > 0; depth += 1) {
		if (depth > maximumNestingDepth) {
			throw createRouterError('malformedRequest', `the body is nested more than ${maximumNestingDepth} levels deep`);
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

/** Throws `malformedRequest` if the parsed `body` contains `secret`. */
export function refuseSecrets(body: unknown, secret: string | undefined): void {
	if (containsSecret(body, secret)) {
		throw createRouterError('malformedRequest', 'the body contains the caller\'s key; send it in the header only');
	}
}

/** Throws `malformedRequest` if the raw `body` contains `secret`, literally, JSON-escaped or URL-encoded in a form. */
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

/** Returns the headers to forward to a target, except hop-by-hop headers and those that carry a key. */
export function filterHeaders(headers: IncomingHttpHeaders, isSecret: (value: string) => boolean): Record<string, string | string[]> {
	const forwarded: Record<string, string | string[]> = {};
	const connectionOptions = parseConnectionOptions(headers.connection);
	for (const [name, value] of Object.entries(headers)) {
		const isDropped = ownHeaders.has(name) || connectionOptions.has(name) || secretHeaders.has(name);
		if (value !== undefined && !isDropped && ![value].flat().some(isSecret)) {
			forwarded[name] = value;
		}
	}

	return forwarded;
}

/** Returns the response headers to forward to the caller. `x-not-run` and `x-result-code` are removed, since only the router may set them. */
export function filterResponseHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
	const forwarded = Object.entries(headers)
		.filter(([name, value]) => value !== undefined && !(ownHeaders.has(name) && name !== 'content-length')
			&& name !== 'x-not-run' && name !== 'x-result-code');
	return Object.fromEntries(forwarded) as Record<string, string | string[]>;
}

/** Returns the path and query without parameters that contain a key; throws `malformedRequest` if the path contains one. */
export function filterPath(url: string, isSecret: (value: string) => boolean): string {
	const separator = url.indexOf('?');
	const path = separator === -1 ? url : url.slice(0, separator);
	if (path.split('/').some(segment => isSecret(decodeLeniently(segment)))) {
		throw createRouterError('malformedRequest', 'the path contains the caller\'s key; send it in the header only');
	}

	if (separator === -1) {
		return url;
	}

	const parameters = url.slice(separator + 1).split('&')
		.filter(parameter => !parameter.split('=').some(nameOrValue => isSecret(decodeLeniently(nameOrValue.replaceAll('+', ' ')))));
	return parameters.length === 0 ? path : `${path}?${parameters.join('&')}`;
}

/**
 * Creates a predicate for values that must not be forwarded: those that contain the caller's `secret`, and those that
 * are a configured key, alone or after an authentication scheme. The latter finds keys sent in the wrong place.
 */
export function createSecretMatcher(configuration: Configuration, secret: string | undefined): (value: string) => boolean {
	return value => {
		if (secret !== undefined && value.includes(secret)) {
			return true;
		}

		const trimmed = value.trim();
		const credentials = /^\S+\s+(\S+)$/u.exec(trimmed)?.[1];
		return [trimmed, credentials].some(candidate => candidate !== undefined && candidate !== '' && configuration.findKey(hashKey(candidate)) !== undefined);
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
