/**
 * `laburnumturn explain`: the story of one request from the log files of several instances. The lines of the
 * request come first; then what the instances logged meanwhile of the targets that it was sent to.
 */

import {readFile} from 'node:fs/promises';
import {
	command, positional, restPositionals, string,
} from 'cmd-ts';
import {CliError, runCommand} from '../cli-error/index.js';

/** One line of a log. */
export type LogLine = {readonly at: number; readonly text: string};

/** Lines of a request and of its targets, each in the order of time. */
export type RequestStory = {readonly request: readonly LogLine[]; readonly targets: readonly LogLine[]};

/** Time before and after the request for which lines of its targets are shown, in milliseconds. */
const aroundMs = 3000;
/** Events of other requests, which are left out of the lines of a target. */
const callEvents = /event="(?:call finished|call refused)"/u;

/** Finds the story of the request `id` in the texts of log files; undefined when no line names it. */
export function findStory(id: string, texts: readonly string[]): RequestStory | undefined {
	const lines = texts.flatMap(text => text.split('\n').flatMap(line => parseLine(line)));
	const sorted = lines.toSorted((a, b) => a.at - b.at);
	const request = sorted.filter(line => readField(line, 'id') === id);
	const first = request[0];
	const last = request.at(-1);
	if (first === undefined || last === undefined) {
		return undefined;
	}

	const targets = new Set(request.map(line => readField(line, 'target')).filter(target => target !== undefined));
	const isNear = (line: LogLine) => line.at >= first.at - aroundMs && line.at <= last.at + aroundMs;
	const around = sorted.filter(line => isNear(line) && !request.includes(line) && !callEvents.test(line.text)
		&& targets.has(readField(line, 'target') ?? ''));
	return {request, targets: around};
}

/** Parses a line; nothing when it has no time. Whatever stands before the time, such as a prefix of a log collector, is kept. */
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
		const story = findStory(id, await Promise.all(files.map(async file => readFile(file, 'utf8'))));
		if (story === undefined) {
			throw new CliError('notFound', `no line of ${files.length} files names request ${id}`);
		}

		const print = (title: string, lines: readonly LogLine[]) => `${title}\n${lines.map(({text}) => `  ${text.trim()}\n`).join('')}`;
		process.stdout.write(print(`request ${id}`, story.request) + print('its targets', story.targets));
	}),
});
