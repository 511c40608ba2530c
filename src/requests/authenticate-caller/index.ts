/** Authentication of callers by API key. */

import type {IncomingHttpHeaders} from 'node:http';
import type {Configuration, ResolvedKey} from '../../configuration/configuration/index.js';
import {equalsKeyHash, hashKey} from '../../keys/hash-key/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';

/** Returns the API key in the `Authorization` or `X-Api-Key` header, if any. */
export function extractSecret(headers: IncomingHttpHeaders): string | undefined {
	const {authorization} = headers;
	const match = /^bearer\s+(\S+)$/iu.exec(authorization ?? '');
	const apiKey = headers['x-api-key'];
	return match?.[1] ?? (typeof apiKey === 'string' ? apiKey : undefined);
}

/** Returns the active key that belongs to `secret`; throws `unauthenticated` if the secret is missing, unknown or withdrawn. */
export function authenticateCaller(configuration: Configuration, secret: string | undefined): ResolvedKey {
	if (secret === undefined) {
		throw createRouterError('unauthenticated', 'no bearer key was sent');
	}

	const hash = hashKey(secret);
	const key = configuration.findKey(hash);
	if (key === undefined || !equalsKeyHash(key.hash, hash) || key.state !== 'active') {
		throw createRouterError('unauthenticated');
	}

	return key;
}
