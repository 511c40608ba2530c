/**
 * Records that a target wants no request of this instance for a time. It binds this instance alone: the target tells each
 * instance by itself.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {Pause} from '../parse-pause/index.js';
import type {StatementContext, StatingAnswer} from '../statement-rule/index.js';

/** Longest pause, in milliseconds. A longer one is a mistake, such as a time in milliseconds, and must not keep a sound target idle for good. */
export const maximumPauseMs = 3_600_000;

/** Records the pause. Without one, a call that was refused or ran after a pause tells whether the target takes calls again. */
export function recordPause(answer: StatingAnswer, {logger, fleet, clock}: StatementContext): void {
	const {attempt: {target, record}, statements: {pause}, isRefusal, receivedAt} = answer;
	const {id} = target.description;
	if (pause === 'invalid') {
		logger.warn('target statement ignored', {target: id, statement: 'pause', reason: 'neither seconds nor a date'});
	} else if (pause !== 'none') {
		const pauseMs = Math.min(measurePauseMs(pause, clock), maximumPauseMs);
		if (target.pause.recordStated(receivedAt + pauseMs as typeof receivedAt, receivedAt)) {
			logger.info('target paused', {target: id, pauseMs: Math.round(pauseMs)});
		}
	} else if (isRefusal) {
		target.pause.recordRefused(record.sentAt, receivedAt);
	} else if (target.pause.recordServed(record.sentAt)) {
		logger.info('target takes calls after pause', {target: id});
		fleet.notify();
	}
}

function measurePauseMs(pause: Pause, clock: Clock): number {
	return pause.type === 'delay' ? pause.ms : Math.max(0, pause.at - clock.readWall());
}
