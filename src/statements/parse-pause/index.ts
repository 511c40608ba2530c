/** The statement of a target that it wants no request of this instance for a time. */

import type {WallMs} from '../../identity/ids/index.js';
import {parseDecimal} from '../../http/parse-decimal/index.js';

/** How long the target wants none: from the answer on, in milliseconds, or until a time. */
export type Pause = {readonly type: 'delay'; readonly ms: number} | {readonly type: 'until'; readonly at: WallMs};

/** What an answer says about a pause. */
export type PauseStatement = Pause | 'none' | 'invalid';

const datePattern = /^(Mon|Tue|Wed|Thu|Fri|Sat|Sun), \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/;
const msPerSecond = 1000;

/** Parses the value of the `Retry-After` header: seconds, also with a fraction, or an HTTP date. An absent header states no pause. */
export function parsePause(text: string | undefined): PauseStatement {
	if (text === undefined) {
		return 'none';
	}

	const trimmed = text.trim();
	const seconds = parseDecimal(trimmed);
	if (seconds !== undefined) {
		return {type: 'delay', ms: seconds * msPerSecond};
	}

	const at = datePattern.test(trimmed) ? Date.parse(trimmed) : Number.NaN;
	return Number.isNaN(at) ? 'invalid' : {type: 'until', at: at as WallMs};
}
