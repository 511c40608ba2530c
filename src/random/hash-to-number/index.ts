/** Hashes texts to numbers that are the same at all instances. */

import {createHash} from 'node:crypto';

/** Returns a whole number from 0 to 2^32 - 1. Those of different texts are evenly distributed. */
export function hashToNumber(text: string): number {
	return createHash('md5').update(text).digest().readUInt32BE(0);
}
