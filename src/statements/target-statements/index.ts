/** What a target says of itself in an answer, apart from the answer to the call. */

import type {RequestLimit} from '../../limits/request-limit/index.js';
import type {LeavingStatement} from '../parse-leaving/index.js';

/** The statements in one answer. */
export type TargetStatements = {
	/** Requests per second that the target takes from all instances together. */
	readonly requestLimit: RequestLimit;
	readonly isLeaving: LeavingStatement;
};

/** Statements of an answer that says nothing of its target. */
export const noStatements: TargetStatements = {requestLimit: 'none', isLeaving: false};
