/** The record of a case: what was sent, answered and run, and what was found. */

import {appendFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';

/** Result of a case, as the exit status of its process. Node.js itself ends with 1 after an error. */
export const exitStatus = {held: 0, broken: 10, notRun: 2} as const;

/** Writes the record of a case. */
export class CaseRecord {
	private readonly startedAt = performance.now();

	/** `file`: the record; an earlier one is replaced. */
	constructor(private readonly file: string) {
		writeFileSync(file, '');
	}

	/** Time since the start of the case, in milliseconds. */
	get elapsedMs(): number {
		return Math.round(performance.now() - this.startedAt);
	}

	/** Writes one line with the time since the start. */
	write(text: string): void {
		appendFileSync(this.file, `${this.elapsedMs} ${text}\n`);
	}

	/** Writes the verdict, also to standard output. */
	conclude(text: string): void {
		this.write(text);
		process.stdout.write(`${text}\n`);
	}
}

/** Whether the disruption of the case is to happen. */
export function hasTrouble(): boolean {
	return process.env.TROUBLE !== '0';
}

/** Reads the path of the record from the command line. */
export function readRecordPath(): string {
	const path = process.argv[2];
	if (path === undefined) {
		throw new Error('the path of the record is missing');
	}

	return path;
}

/** Runs a case, and ends the process with its status. A case that fails to run has the status `notRun`. */
export async function runCase(run: (record: CaseRecord) => Promise<boolean>): Promise<void> {
	const record = new CaseRecord(readRecordPath());
	try {
		const isBroken = await run(record);
		process.exitCode = isBroken ? exitStatus.broken : exitStatus.held;
	} catch (error) {
		record.conclude(`the case could not run: ${(error as Error).stack ?? String(error)}`);
		process.exitCode = exitStatus.notRun;
	}

	// eslint-disable-next-line unicorn/no-process-exit -- connections of the stand-ins may still be open
	process.exit();
}
