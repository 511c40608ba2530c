/** Lets a task sleep for a given time or until another task wakes it. */

import type {Clock} from '../clock/index.js';

/** Wake-up signal for one task. A notification that arrives while the task is not waiting ends its next wait at once. */
export class Wakeup {
	private isNotified = false;
	private controller: AbortController | undefined;

	notify(): void {
		this.isNotified = true;
		this.controller?.abort();
	}

	/** Waits up to `ms` milliseconds; resolves to whether a notification arrived. */
	async wait(clock: Clock, ms: number, signal: AbortSignal): Promise<boolean> {
		if (!this.isNotified && !signal.aborted) {
			const controller = new AbortController();
			const abortSleep = () => {
				controller.abort();
			};

			this.controller = controller;
			signal.addEventListener('abort', abortSleep, {once: true});
			await clock.sleep(ms, controller.signal);
			signal.removeEventListener('abort', abortSleep);
			this.controller = undefined;
		}

		const wasNotified = this.isNotified;
		this.isNotified = false;
		return wasNotified;
	}
}
