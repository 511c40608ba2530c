/**
 * Log output that never blocks the process: lines are buffered and written asynchronously in batches. When the
 * reader is too slow and the buffer is full, further lines are dropped and counted.
 */

import type {LogOutput} from '../create-logger/index.js';

/** Writes text to a file descriptor asynchronously, as `fs.write` does. */
export type AsyncWrite = (text: string, done: (error: NodeJS.ErrnoException | null) => void) => void;

/** Options of `BatchedOutput`. */
export type BatchedOutputOptions = {
	readonly write: AsyncWrite;
	/** Runs `action` after `ms`. */
	readonly schedule: (action: () => void, ms: number) => void;
};

/** Delay before a batch is written. */
export const batchDelayMs = 50;
/** Limit of the buffered lines' total length. */
export const maximumBufferedCharacters = 1_000_000;

/** Buffers lines and writes them in batches. */
export class BatchedOutput implements LogOutput {
	private bufferedLines: string[] = [];
	private bufferedCharacters = 0;
	private droppedLineCount = 0;
	private isScheduled = false;
	private isWriting = false;

	constructor(private readonly options: BatchedOutputOptions) {}

	write(line: string): void {
		if (this.bufferedCharacters + line.length > maximumBufferedCharacters) {
			this.droppedLineCount += 1;
			return;
		}

		this.bufferedLines.push(line);
		this.bufferedCharacters += line.length;
		this.schedule();
	}

	/** Empties the buffer and returns its text, for example to write it before the process exits. */
	drainBuffer(): string {
		const text = this.bufferedLines.join('') + (this.droppedLineCount > 0 ? `event="log lines left out" count=${this.droppedLineCount} reason="the reader is too slow"\n` : '');
		this.bufferedLines = [];
		this.bufferedCharacters = 0;
		this.droppedLineCount = 0;
		return text;
	}

	private schedule(): void {
		if (!this.isScheduled && !this.isWriting) {
			this.isScheduled = true;
			this.options.schedule(() => {
				this.isScheduled = false;
				this.flush();
			}, batchDelayMs);
		}
	}

	private flush(): void {
		const text = this.drainBuffer();
		this.isWriting = true;
		this.options.write(text, error => {
			this.isWriting = false;
			if (error?.code === 'EAGAIN') {
				this.bufferedLines.unshift(text);
				this.bufferedCharacters += text.length;
			}

			// Any other error means that the log is no longer read, and the batch is lost.
			if (this.bufferedLines.length > 0) {
				this.schedule();
			}
		});
	}
}
