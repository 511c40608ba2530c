/** Record of one run of a case: what was sent, answered and run, and which disruptions there were. */

import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

const startedAt = performance.now();

/** Milliseconds since the start of the run. */
export function readRunTime(): number {
	return Math.round(performance.now() - startedAt);
}

/** Lines of the record, in the order of the events. */
export class CaseRecord {
	private readonly lines: string[] = [];

	constructor(private readonly file: string) {}

	/** Notes an event with its details. */
	note(event: string, details: Readonly<Record<string, unknown>> = {}): void {
		const text = Object.entries(details).map(([name, value]) => ` ${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join('');
		this.lines.push(`${String(readRunTime()).padStart(6)} ms  ${event}${text}`);
	}

	save(): void {
		writeFileSync(this.file, `${this.lines.join('\n')}\n`);
	}
}
