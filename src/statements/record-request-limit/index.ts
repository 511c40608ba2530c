/** Records what an answer says about the request limit of its target. All instances keep it together. */

import type {StatementContext, StatingAnswer} from '../statement-rule/index.js';

/** Records the limit, or its absence. A limit counts on refusals too; only an answer to a call that ran ends it. */
export function recordRequestLimit({attempt: {target, record}, statements, isRefusal, receivedAt}: StatingAnswer, {logger, limits}: StatementContext): void {
	const {limit, description: {id}} = target;
	const {requestLimit} = statements;
	if (requestLimit === 'invalid') {
		logger.warn('target limit ignored', {target: id, reason: 'not a decimal number'});
	} else if (requestLimit !== 'none') {
		if (limit.recordStated(requestLimit, receivedAt)) {
			logger.info('target limit changed', {target: id, requestsPerSecond: requestLimit, source: 'answer'});
			limits.announce(target);
		}
	} else if (!isRefusal && limit.recordAbsent(record.sentAt)) {
		logger.info('target limit ended', {target: id, source: 'answer'});
		limits.announce(target);
	}
}
