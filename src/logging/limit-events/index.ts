/**
 * Rate limit for log lines. Each kind of event may write a number of lines per second; further lines are dropped
 * and counted.
 *
 * Load pattern: under a burst of calls or failures, a few events occur thousands of times per second.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {EventLogger, LogFields} from '../create-logger/index.js';

/** Limit for each kind of event. */
export const maximumLinesPerSecond = 200;
const windowMs = 1000;

type EventWindow = {startedAt: number; lines: number; droppedLines: number};
type Level = keyof EventLogger;

/** Wraps `logger` in one that drops lines above the limit. Events with the same name and outcome are of one kind. */
export function limitEvents(logger: EventLogger, clock: Clock): EventLogger {
	const windows = new Map<string, EventWindow>();

	const write = (level: Level, event: string, fields: LogFields = {}) => {
		const kind = `${event} ${fields.outcome ?? ''}`;
		const now = clock.readMonotonic();
		const window = windows.get(kind) ?? {startedAt: now, lines: 0, droppedLines: 0};
		windows.set(kind, window);
		if (now - window.startedAt >= windowMs) {
			if (window.droppedLines > 0) {
				logger.warn('log lines left out', {of: event, outcome: fields.outcome, count: window.droppedLines});
			}

			Object.assign(window, {startedAt: now, lines: 0, droppedLines: 0});
		}

		if (window.lines < maximumLinesPerSecond) {
			window.lines += 1;
			logger[level](event, fields);
		} else {
			window.droppedLines += 1;
		}
	};

	return {
		info(event, fields) {
			write('info', event, fields);
		},
		warn(event, fields) {
			write('warn', event, fields);
		},
		error(event, fields) {
			write('error', event, fields);
		},
	};
}
