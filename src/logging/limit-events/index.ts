/**
 * Bounds the volume of logs: of each kind of event, so many lines a second are written, and the others counted.
 *
 * Load pattern: in a storm of calls or failures, the same few events come thousands of times a second.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {EventLogger, LogFields} from '../create-logger/index.js';

/** Lines of one kind of event in one second. */
export const maximumLines = 200;
const windowMs = 1000;

type EventWindow = {startedAt: number; lines: number; leftOut: number};
type Level = keyof EventLogger;

/** Creates a logger before `logger` that leaves out lines beyond the bound. Calls with different outcomes are different kinds. */
export function limitEvents(logger: EventLogger, clock: Clock): EventLogger {
	const windows = new Map<string, EventWindow>();

	const write = (level: Level, event: string, fields: LogFields = {}) => {
		const kind = `${event} ${fields.outcome ?? ''}`;
		const now = clock.readMonotonic();
		const window = windows.get(kind) ?? {startedAt: now, lines: 0, leftOut: 0};
		windows.set(kind, window);
		if (now - window.startedAt >= windowMs) {
			if (window.leftOut > 0) {
				logger.warn('log lines left out', {of: event, outcome: fields.outcome, count: window.leftOut});
			}

			Object.assign(window, {startedAt: now, lines: 0, leftOut: 0});
		}

		if (window.lines < maximumLines) {
			window.lines += 1;
			logger[level](event, fields);
		} else {
			window.leftOut += 1;
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
