/** Hashes of callers' API keys; only the hashes are stored and compared. */

import {createHash, timingSafeEqual} from 'node:crypto';
import type {KeyHash} from '../../identity/ids/index.js';

/** Returns the SHA-256 hash of an API key. */
export function hashKey(secret: string): KeyHash {
	return createHash('sha256').update(secret).digest('hex') as KeyHash;
}

/** Compares two hashes in constant time. */
export function equalsKeyHash(a: KeyHash, b: KeyHash): boolean {
	const left = Buffer.from(a, 'hex');
	const right = Buffer.from(b, 'hex');
	return left.length === right.length && timingSafeEqual(left, right);
}
