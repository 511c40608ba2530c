/**
 * Records that a target says it is brittle: it falls over if it has to turn away more than a number of requests in a
 * second for want of room. All instances keep below that number together, so all are told, and refusals are reported to the
 * instance that issues the permits for the target.
 */

import type {StatementContext, StatingAnswer} from '../statement-rule/index.js';

/** Records the number, or its absence. It counts on refusals too; only an answer to a call that ran ends it. */
export function recordBrittleness(answer: StatingAnswer, {logger, limits}: StatementContext): void {
	const {attempt: {target, record}, statements: {brittleness: stated}, isRefusal, isOutOfRoom, receivedAt} = answer;
	const {brittleness, description: {id}} = target;
	if (stated === 'invalid') {
		logger.warn('target statement ignored', {target: id, statement: 'brittleness', reason: 'not a decimal number'});
	} else if (stated !== 'none') {
		if (brittleness.recordStated(stated, receivedAt)) {
			logger.info('target brittleness changed', {target: id, refusalsPerSecond: stated, source: 'answer'});
			limits.announce(target);
		}
	} else if (!isRefusal && brittleness.recordAbsent(record.sentAt)) {
		logger.info('target brittleness ended', {target: id, source: 'answer'});
		limits.announce(target);
	}

	if (isOutOfRoom && brittleness.read() !== undefined) {
		limits.reportRefused(target, receivedAt);
	}
}
