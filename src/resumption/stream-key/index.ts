/**
 * Keys of streams. A caller that takes a stream up names the request that brought its first event. The organisation and the
 * service belong to the key, so that nobody learns of others' streams.
 */

import {createHash} from 'node:crypto';
import type {Branded, OrganisationId, RequestId} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';

/** Identifies a stream in messages and records. */
export type StreamKey = Branded<string, 'StreamKey'>;

/** What identifies a stream. */
export type StreamIdentity = {
	readonly service: ServiceId;
	/** Undefined on routes that need no key. */
	readonly organisation: OrganisationId | undefined;
	/** Request that brought the first event. */
	readonly firstRequest: RequestId;
};

/** Length of a key, in hexadecimal digits. */
export const streamKeyLength = 16;

const keyPattern = new RegExp(String.raw`^[\da-f]{${streamKeyLength}}$`, 'u');

/** Calculates the key of a stream. */
export function hashStream({service, organisation, firstRequest}: StreamIdentity): StreamKey {
	// The fields are one JSON text, so that no two streams differ only by where one field ends.
	const hash = createHash('sha256').update(JSON.stringify([service, organisation ?? null, firstRequest]));
	return hash.digest('hex').slice(0, streamKeyLength) as StreamKey;
}

/** Whether a value has the form of a stream's key. */
export function isStreamKey(value: unknown): value is StreamKey {
	return typeof value === 'string' && keyPattern.test(value);
}
