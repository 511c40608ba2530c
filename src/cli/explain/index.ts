/**
 * `laburnumturn explain`: traces one request through the log files of several instances. The lines of the request
 * come first, followed by the lines that the instances logged at about that time for the targets it was sent to.
 */

import {readFile} from 'node:fs/promises';
import {
	command, positional, restPositionals, string,
} from 'cmd-ts';
import {CliError, runCommand} from '../cli-error/index.js';

/** One line of a log. */
export type LogLine = {readonly at: number; readonly text: string};

/** Log lines of a request and of its targets, each sorted by time. */
export type RequestTrace = {readonly request: readonly LogLine[]; readonly targets: readonly LogLine[]};

/** Time before and after the request for which the log lines of its targets are included. */
const targetWindowMs = 3000;
/** Events of single requests; those of other requests are excluded from the lines of a target. */
const requestEventPattern = /event="(?:call finished|call refused)"/u;

/** Finds the log lines of the request `id` and of its targets in the texts of log files; undefined when no line has this id. */
export function findRequestTrace(id: string, texts: readonly string[]): RequestTrace | undefined {
	const parsedLines = texts.flatMap(text => text.split('\n').flatMap(line => parseLine(line)));
	const sortedLines = parsedLines.toSorted((a, b) => a.at - b.at);
	const request = sortedLines.filter(line => readField(line, 'id') === id);
	const first = request[0];
	const last = request.at(-1);
	if (first === undefined || last === undefined) {
		return undefined;
	}

	const targets = new Set(request.map(line => readField(line, 'target')).filter(target => target !== undefined));
	const isInWindow = (line: LogLine) => line.at >= first.at - targetWindowMs && line.at <= last.at + targetWindowMs;
	const targetLines = sortedLines.filter(line => isInWindow(line) && !request.includes(line) && !requestEventPattern.test(line.text)
		&& targets.has(readField(line, 'target') ?? ''));
	return {request, targets: targetLines};
}

/** Parses a line; returns an empty list when it has no time. Text before the time, such as the prefix of a log collector, is kept. */
function parseLine(text: string): LogLine[] {
	const time = /\btime=(\S+)/u.exec(text)?.[1];
	const at = time === undefined ? Number.NaN : Date.parse(time);
	return Number.isNaN(at) ? [] : [{at, text}];
}

function readField({text}: LogLine, name: string): string | undefined {
	return new RegExp(String.raw`(?:^|\s)${name}=(\S+)`, 'u').exec(text)?.[1];
}

/** Command `explain`. */
export const explainCommand = command({
	name: 'explain',
	description: 'print what instances logged about one request and its targets, in the order of time',
	args: {
		id: positional({type: string, displayName: 'request id'}),
		files: restPositionals({type: string, displayName: 'log file'}),
	},
	handler: async ({id, files}) => runCommand(async () => {
		const trace = findRequestTrace(id, await Promise.all(files.map(async file => readFile(file, 'utf8'))));
		if (trace === undefined) {
			throw new CliError('notFound', `no line of ${files.length} files names request ${id}`);
		}

		const formatSection = (title: string, lines: readonly LogLine[]) => `${title}\n${lines.map(({text}) => `  ${text.trim()}\n`).join('')}`;
		process.stdout.write(formatSection(`request ${id}`, trace.request) + formatSection('its targets', trace.targets));
	}),
});
