/**
 * Output of log lines that never blocks the process: lines are gathered and written in the background. When
 * the reader is slower than the lines come, further lines are left out and counted.
 */

import type {LogOutput} from '../create-logger/index.js';

/** Writes text to a file descriptor in the background, as `fs.write` does. */
export type BackgroundWrite = (text: string, done: (error: NodeJS.ErrnoException | null) => void) => void;

/** What the output needs. */
export type BatchedOutputOptions = {
	readonly write: BackgroundWrite;
	/** Runs `action` after `ms`. */
	readonly schedule: (action: () => void, ms: number) => void;
};

/** Time for which lines are gathered, in milliseconds. */
export const gatherMs = 50;
/** Length of the lines that wait at most, in characters. */
export const maximumWaiting = 1_000_000;

/** Gathers lines and writes them. */
export class BatchedOutput implements LogOutput {
	private waiting: string[] = [];
	private waitingLength = 0;
	private leftOut = 0;
	private isScheduled = false;
	private isWriting = false;

	constructor(private readonly options: BatchedOutputOptions) {}

	write(line: string): void {
		if (this.waitingLength + line.length > maximumWaiting) {
			this.leftOut += 1;
			return;
		}

		this.waiting.push(line);
		this.waitingLength += line.length;
		this.schedule();
	}

	/** Takes out what still waits, to be written before the process exits. */
	takeRest(): string {
		const text = this.waiting.join('') + (this.leftOut > 0 ? `event="log lines left out" count=${this.leftOut} reason="the reader is too slow"\n` : '');
		this.waiting = [];
		this.waitingLength = 0;
		this.leftOut = 0;
		return text;
	}

	private schedule(): void {
		if (!this.isScheduled && !this.isWriting) {
			this.isScheduled = true;
			this.options.schedule(() => {
				this.isScheduled = false;
				this.flush();
			}, gatherMs);
		}
	}

	private flush(): void {
		const text = this.takeRest();
		this.isWriting = true;
		this.options.write(text, error => {
			this.isWriting = false;
			if (error?.code === 'EAGAIN') {
				this.waiting.unshift(text);
				this.waitingLength += text.length;
			}

			// Other errors mean that nobody reads the lines any more.
			if (this.waiting.length > 0) {
				this.schedule();
			}
		});
	}
}
