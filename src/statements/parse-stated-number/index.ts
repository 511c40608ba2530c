/** A number that a target states in a header of an answer. */

import {parseDecimal} from '../../http/parse-decimal/index.js';

/** The number that an answer states, `none`, or `invalid` if the stated value is not a decimal number. */
export type NumberStatement = number | 'none' | 'invalid';

/** Parses the value of a header; an absent header states nothing. */
export function parseStatedNumber(text: string | undefined): NumberStatement {
	if (text === undefined) {
		return 'none';
	}

	return parseDecimal(text.trim()) ?? 'invalid';
}
