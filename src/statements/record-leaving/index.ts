/**
 * Records that a target says it is leaving. The statement holds until the target ends, whatever the store shows: its entry
 * may lag behind, or come back older after a restore. All instances are told.
 */

import type {StatementContext, StatingAnswer} from '../statement-rule/index.js';

/** Records the statement; an answer without it takes nothing back. */
export function recordLeaving({attempt: {target}, statements: {isLeaving}}: StatingAnswer, {logger, leavingNotices}: StatementContext): void {
	const {id} = target.description;
	if (isLeaving === 'invalid') {
		logger.warn('target statement ignored', {target: id, statement: 'leaving', reason: 'neither 0 nor 1'});
	} else if (isLeaving && target.recordLeaving()) {
		logger.info('target leaving', {target: id, source: 'answer'});
		leavingNotices.announce(target);
	}
}
