/** Starts the programs of this project as child processes, for the demo, the benchmark and tests. */

import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import VError from 'verror';

/** Name of a program of this project. */
export type ProgramName = 'laburnumturnd' | 'laburnumturn' | 'standin';

/** A started process that has announced its address. */
export type StartedProcess = {
	/** `host:port` that the process announced. */
	readonly address: string;
	readonly child: ChildProcess;
	/** Sends `signal` to the process and waits until it has exited; returns its exit code. */
	end(signal?: NodeJS.Signals): Promise<number | null>;
};

/** Timeout of a start that hangs. At load averages above 30, eight processes started at once took longer than 10 s. */
const startTimeoutMs = 30_000;

/** Returns the path of a program and its Node.js arguments; sources run through `tsx`, so that tests need no build. */
export function locateProgram(name: ProgramName): {path: string; execArguments: readonly string[]} {
	const isSource = import.meta.url.endsWith('.ts');
	const path = fileURLToPath(new URL(`../../bin/${name}.${isSource ? 'ts' : 'js'}`, import.meta.url));
	return {path, execArguments: isSource ? ['--import', 'tsx'] : []};
}

/** Starts a program and waits for the JSON line `{"listening": "host:port"}` on its standard output. */
export async function startProcess(name: ProgramName, programArguments: readonly string[], onLog?: (line: string) => void): Promise<StartedProcess> {
	const {path, execArguments} = locateProgram(name);
	const child = spawn(process.execPath, [...execArguments, path, ...programArguments], {stdio: ['ignore', 'pipe', 'pipe']});
	const errorLines: string[] = [];
	createInterface({input: child.stderr}).on('line', line => {
		errorLines.push(line);
		if (errorLines.length > 50) {
			errorLines.shift();
		}

		onLog?.(line);
	});
	const address = await readAddress(child, () => errorLines.join('\n'), `${name} ${programArguments.join(' ')}`);
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

async function readAddress(child: ChildProcess, readErrorOutput: () => string, label: string): Promise<string> {
	const lines = createInterface({input: child.stdout!});
	return new Promise((resolve, reject) => {
		const timer = setTimeout(() => {
			child.kill('SIGKILL');
			reject(new VError('%s did not announce an address: %s', label, readErrorOutput()));
		}, startTimeoutMs);
		lines.once('line', line => {
			clearTimeout(timer);
			resolve((JSON.parse(line) as {listening: string}).listening);
		});
		child.once('exit', code => {
			clearTimeout(timer);
			reject(new VError('%s exited with code %s: %s', label, String(code), readErrorOutput()));
		});
	});
}
