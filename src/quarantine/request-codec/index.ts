/** Stored form of the keys of whole requests. */

import type {StoredObject} from '../../store/object-api/index.js';
import type {KeyCodec} from '../quarantine-records/index.js';
import {requestKeyLength, type RequestKey} from '../request-key/index.js';

const keyPattern = new RegExp(String.raw`^[\da-f]{${requestKeyLength}}$`, 'u');

/** Whether a value has the form of a request's key. */
export function isRequestKey(value: unknown): value is RequestKey {
	return typeof value === 'string' && keyPattern.test(value);
}

/** Whether a stored object is the quarantine of a request, be it valid or not. */
export function isRequestRecord({value}: StoredObject): boolean {
	return typeof value === 'object' && value !== null && 'request' in value;
}

/** Stores a request as its key. Names of parts contain a dot, so the two share a collection. */
export const requestCodec: KeyCodec<RequestKey> = {
	formatName: key => `request-${key}`,
	describe: key => ({request: key}),
	parse: ({request}) => isRequestKey(request) ? request : undefined,
};
