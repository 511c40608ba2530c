/** Starts the programs of this project as child processes, for the demo, the benchmark and tests. */

import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import VError from 'verror';

/** A program of this project. */
export type ProgramName = 'laburnumturnd' | 'laburnumturn' | 'standin';

/** A started process that has announced its address. */
export type StartedProcess = {
	/** `host:port` that the process announced. */
	readonly address: string;
	readonly child: ChildProcess;
	/** Ends the process with `signal` and waits until it has gone; returns its exit code. */
	end(signal?: NodeJS.Signals): Promise<number | null>;
};

/** Bounds a start that hangs. With load averages above 30, starts of eight processes at once took longer than 10 s. */
const startTimeoutMs = 30_000;

/** Path of a program; sources run through `tsx`, so that tests need no build. */
export function locateProgram(name: ProgramName): {path: string; execArguments: readonly string[]} {
	const isSource = import.meta.url.endsWith('.ts');
	const path = fileURLToPath(new URL(`../../bin/${name}.${isSource ? 'ts' : 'js'}`, import.meta.url));
	return {path, execArguments: isSource ? ['--import', 'tsx'] : []};
}

/** Starts a program and waits for the JSON line `{"listening": "host:port"}` on its standard output. */
export async function startProcess(name: ProgramName, programArguments: readonly string[], onLog?: (line: string) => void): Promise<StartedProcess> {
	const {path, execArguments} = locateProgram(name);
	const child = spawn(process.execPath, [...execArguments, path, ...programArguments], {stdio: ['ignore', 'pipe', 'pipe']});
	const errors: string[] = [];
	createInterface({input: child.stderr}).on('line', line => {
		errors.push(line);
		if (errors.length > 50) {
			errors.shift();
		}

		onLog?.(line);
	});
	const address = await readAddress(child, () => errors.join('\n'), `${name} ${programArguments.join(' ')}`);
	return {
		address,
		child,
		async end(signal = 'SIGTERM') {
			if (child.exitCode === null && child.signalCode === null) {
				const exited = once(child, 'exit');
				child.kill(signal);
				await exited;
			}

			return child.exitCode;
		},
	};
}

async function readAddress(child: ChildProcess, readErrors: () => string, label: string): Promise<string> {
	const lines = createInterface({input: child.stdout!});
	return new Promise((resolve, reject) => {
		const timer = setTimeout(() => {
			child.kill('SIGKILL');
			reject(new VError('%s did not announce an address: %s', label, readErrors()));
		}, startTimeoutMs);
		lines.once('line', line => {
			clearTimeout(timer);
			resolve((JSON.parse(line) as {listening: string}).listening);
		});
		child.once('exit', code => {
			clearTimeout(timer);
			reject(new VError('%s exited with code %s: %s', label, String(code), readErrors()));
		});
	});
}
