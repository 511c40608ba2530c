/** Derives a number from a text, so that all instances get the same one. */

import {createHash} from 'node:crypto';

const distinctValues = 2 ** 32;

/** Returns a number from 0 (inclusive) to 1 (exclusive). Those of different texts are evenly distributed. */
export function deriveFraction(text: string): number {
	return createHash('md5').update(text).digest().readUInt32BE(0) / distinctValues;
}
