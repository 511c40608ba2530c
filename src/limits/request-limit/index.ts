/** The limit on requests that a target states in an answer. */

/**
 * What an answer says about the limit of its target: the requests per second that the target takes from all instances
 * together, `none`, or `invalid` if the stated value is not a decimal number.
 */
export type RequestLimit = number | 'none' | 'invalid';

const decimalPattern = /^\d{1,15}(\.\d{1,15})?$/;

/** Parses the value of a limit header; an absent header states that there is no limit. */
export function parseRequestLimit(text: string | undefined): RequestLimit {
	if (text === undefined) {
		return 'none';
	}

	const trimmed = text.trim();
	return decimalPattern.test(trimmed) ? Number(trimmed) : 'invalid';
}
