/** Structured logs: one line of key=value pairs for each event, on standard error unless another output is given. */

import {Logger as TsLogger} from 'tslog';

/** Fields of an event. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Logs events. The event name is a short fixed phrase; variable data goes into the fields. */
export type EventLogger = {
	info(event: string, fields?: LogFields): void;
	warn(event: string, fields?: LogFields): void;
	error(event: string, fields?: LogFields): void;
};

/** Destination of formatted log lines. */
export type LogOutput = {write(line: string): unknown};

const levelNames: Readonly<Record<number, string>> = {3: 'info', 4: 'warn', 5: 'error'};
const minimumLevel = 3;

type LogObject = {readonly 0: string; readonly 1?: LogFields; readonly _meta: {readonly logLevelId: number; readonly date: Date}};

/** Creates a logger that adds the fields of `context` to each line. With `isQuiet`, it writes nothing. */
export function createLogger(context: LogFields = {}, isQuiet = false, output: LogOutput = process.stderr): EventLogger {
	const logger = new TsLogger<unknown>({type: 'hidden', minLevel: minimumLevel, hideLogPositionForProduction: true});
	if (!isQuiet) {
		logger.attachTransport(object => {
			const {0: event, 1: fields, _meta: meta} = object as unknown as LogObject;
			output.write(formatLine(meta.date, levelNames[meta.logLevelId] ?? 'info', event, {...context, ...fields}));
		});
	}

	return {
		info(event, fields = {}) {
			logger.info(event, fields);
		},
		warn(event, fields = {}) {
			logger.warn(event, fields);
		},
		error(event, fields = {}) {
			logger.error(event, fields);
		},
	};
}

/** Formats one line. Empty values and values with white space, quotes or `=` are quoted as in JSON. */
export function formatLine(date: Date, level: string, event: string, fields: LogFields): string {
	const pairs = [`time=${date.toISOString()}`, `level=${level}`, `event=${formatValue(event)}`];
	for (const [key, value] of Object.entries(fields)) {
		if (value !== undefined) {
			pairs.push(`${key}=${formatValue(value)}`);
		}
	}

	return `${pairs.join(' ')}\n`;
}

function formatValue(value: string | number | boolean): string {
	const text = String(value);
	return /^[^\s"=]+$/u.test(text) ? text : JSON.stringify(text);
}
