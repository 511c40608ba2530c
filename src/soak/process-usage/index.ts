/** Memory and descriptors of a process, as the operating system counts them. */

import {readdirSync, readFileSync} from 'node:fs';
import {setTimeout as delay} from 'node:timers/promises';

const sampleIntervalMs = 20;
const bytesPerKilobyte = 1024;
const peakPattern = /^VmHWM:\s+(\d+) kB/mu;
const residentPattern = /^VmRSS:\s+(\d+) kB/mu;

/** Records the most that a process, and those that replace it, have used. */
export class ProcessUsage {
	/** Largest resident set since the start of the process. */
	peakResidentBytes = 0;
	/** Largest resident set among the samples, which leaves out what the start of the process took. */
	peakSampledBytes = 0;
	peakDescriptors = 0;

	constructor(private readonly readProcessId: () => number | undefined) {}

	/** Samples the usage until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.sample();
			await delay(sampleIntervalMs);
		}
	}

	/** Samples the usage once. */
	sample(): void {
		const processId = this.readProcessId();
		if (processId === undefined) {
			return;
		}

		try {
			const status = readFileSync(`/proc/${processId}/status`, 'utf8');
			this.peakResidentBytes = Math.max(this.peakResidentBytes, readBytes(status, peakPattern));
			this.peakSampledBytes = Math.max(this.peakSampledBytes, readBytes(status, residentPattern));
			this.peakDescriptors = Math.max(this.peakDescriptors, readdirSync(`/proc/${processId}/fd`).length);
		} catch {
			// The process has ended.
		}
	}
}

function readBytes(status: string, pattern: RegExp): number {
	return Number(pattern.exec(status)?.[1] ?? 0) * bytesPerKilobyte;
}
