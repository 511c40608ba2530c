/** Derives a number from a text, so that all instances get the same one. */

import {hashToNumber} from '../hash-to-number/index.js';

const distinctValues = 2 ** 32;

/** Returns a number from 0 (inclusive) to 1 (exclusive). Those of different texts are evenly distributed. */
export function deriveFraction(text: string): number {
	return hashToNumber(text) / distinctValues;
}
