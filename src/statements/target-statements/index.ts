/** What a target says of itself in an answer, apart from the answer to the call. */

import type {NumberStatement} from '../parse-stated-number/index.js';
import type {LeavingStatement} from '../parse-leaving/index.js';
import type {PauseStatement} from '../parse-pause/index.js';

/** The statements in one answer. */
export type TargetStatements = {
	/** Requests per second that the target takes from all instances together. */
	readonly requestLimit: NumberStatement;
	/** Requests that the target can turn away in a second without falling over. */
	readonly brittleness: NumberStatement;
	readonly isLeaving: LeavingStatement;
	/** Time for which the target wants no request of this instance. */
	readonly pause: PauseStatement;
};

/** Statements of an answer that says nothing of its target. */
export const noStatements: TargetStatements = {
	requestLimit: 'none', brittleness: 'none', isLeaving: false, pause: 'none',
};
