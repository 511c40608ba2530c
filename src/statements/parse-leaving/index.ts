/** The statement of a target that it is leaving. */

/** Whether an answer says that its target is leaving; `invalid` if the value is neither 1 nor 0. */
export type LeavingStatement = boolean | 'invalid';

/** Parses the value of the header; an absent header and 0 state nothing. */
export function parseLeaving(text: string | undefined): LeavingStatement {
	const trimmed = text?.trim() ?? '0';
	return trimmed === '1' || (trimmed === '0' ? false : 'invalid');
}
