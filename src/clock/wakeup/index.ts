/** Lets a task sleep until its time has come or another task wakes it. */

import type {Clock} from '../clock/index.js';

/** One sleeping task. A notification that comes while the task is busy is kept for its next wait. */
export class Wakeup {
	private isNotified = false;
	private controller: AbortController | undefined;

	notify(): void {
		this.isNotified = true;
		this.controller?.abort();
	}

	/** Waits at most `ms` milliseconds; resolves to whether a notification ended the wait. */
	async wait(clock: Clock, ms: number, signal: AbortSignal): Promise<boolean> {
		if (!this.isNotified && !signal.aborted) {
			const controller = new AbortController();
			const stop = () => {
				controller.abort();
			};

			this.controller = controller;
			signal.addEventListener('abort', stop, {once: true});
			await clock.sleep(ms, controller.signal);
			signal.removeEventListener('abort', stop);
			this.controller = undefined;
		}

		const wasNotified = this.isNotified;
		this.isNotified = false;
		return wasNotified;
	}
}
