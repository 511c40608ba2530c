/** The limit on requests that a target states in an answer. */

import {parseDecimal} from '../../http/parse-decimal/index.js';

/**
 * What an answer says about the limit of its target: the requests per second that the target takes from all instances
 * together, `none`, or `invalid` if the stated value is not a decimal number.
 */
export type RequestLimit = number | 'none' | 'invalid';

/** Parses the value of a limit header; an absent header states that there is no limit. */
export function parseRequestLimit(text: string | undefined): RequestLimit {
	if (text === undefined) {
		return 'none';
	}

	return parseDecimal(text.trim()) ?? 'invalid';
}
