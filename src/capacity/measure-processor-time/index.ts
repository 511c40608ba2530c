/** Processor time of an operation. */

import process from 'node:process';

const microsecondsPerMs = 1000;

/** Returns processor milliseconds, user and system, that `run` takes. */
export async function measureProcessorTime(run: () => unknown): Promise<number> {
	const start = process.cpuUsage();
	await run();
	const used = process.cpuUsage(start);
	return (used.user + used.system) / microsecondsPerMs;
}
