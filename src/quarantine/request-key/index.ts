/**
 * Keys of whole requests: what a caller sends again when it returns. The request's id, the deadline and other headers
 * change from one attempt to the next and don't count. Only the hash leaves the instance, so neither logs nor the object
 * API contain a body, and a caller cannot craft a request that has the key of another one's.
 */

import {createHash} from 'node:crypto';
import type {Branded, OrganisationId} from '../../identity/ids/index.js';

/** Identifies a request by its caller, method, host, path and body. */
export type RequestKey = Branded<string, 'RequestKey'>;

/** What identifies a request. */
export type RequestIdentity = {
	readonly method: string;
	readonly host: string;
	/** Path and query string. */
	readonly path: string;
	/** Undefined on routes that need no key. */
	readonly organisation: OrganisationId | undefined;
	readonly body: Buffer | undefined;
};

/** Length of a key, in hexadecimal digits. */
export const requestKeyLength = 32;

/** Calculates the key of a request. */
export function hashRequest({method, host, path, organisation, body}: RequestIdentity): RequestKey {
	// The fields are one JSON text, so that no two requests differ only by where one field ends.
	const hash = createHash('sha256').update(JSON.stringify([method, host.toLowerCase(), path, organisation ?? null]));
	if (body !== undefined) {
		hash.update('\n').update(body);
	}

	return hash.digest('hex').slice(0, requestKeyLength) as RequestKey;
}
