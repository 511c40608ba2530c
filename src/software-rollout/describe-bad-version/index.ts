/** Describes for operators why a version is bad. */

import type {BadVersion} from '../judge-version/index.js';

/** Returns the description as one line. */
export function describeBadVersion({kind, route, span, answers, bad, expectedShare}: BadVersion): string {
	const percent = Math.round(expectedShare * 1000) / 10;
	return `${bad} ${kind} of ${answers} on ${route ?? 'all routes'}, ${span}; at most ${percent}% expected`;
}
