/** Clock that advances only on request, for tests. */

import type {Clock} from '../clock/index.js';
import type {MonotonicMs, WallMs} from '../../identity/ids/index.js';

type Sleeper = {dueAt: number; wake: () => void};

/** Clock for tests: `advance` moves the time forward and wakes the sleepers that are due, in order. */
export class ManualClock implements Clock {
	private now: number;
	private sleepers: Sleeper[] = [];

	constructor(startMs = 0) {
		this.now = startMs;
	}

	readMonotonic(): MonotonicMs {
		return this.now as MonotonicMs;
	}

	readWall(): WallMs {
		return this.now as WallMs;
	}

	async sleep(ms: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const cancel = () => {
				this.sleepers = this.sleepers.filter(other => other !== sleeper);
				resolve();
			};

			const sleeper = {
				dueAt: this.now + ms,
				wake() {
					// Otherwise, listeners would accumulate on a signal that outlives many sleeps.
					signal?.removeEventListener('abort', cancel);
					resolve();
				},
			};
			this.sleepers.push(sleeper);
			signal?.addEventListener('abort', cancel, {once: true});
		});
	}

	/** Advances the clock by `ms`, and lets woken tasks run after each wake-up. */
	async advance(ms: number): Promise<void> {
		const end = this.now + ms;
		for (;;) {
			this.sleepers.sort((a, b) => a.dueAt - b.dueAt);
			const next = this.sleepers[0];
			if (next === undefined || next.dueAt > end) {
				break;
			}

			this.sleepers.shift();
			this.now = Math.max(this.now, next.dueAt);
			next.wake();
			await flushTasks();
		}

		this.now = end;
		await flushTasks();
	}
}

/** Lets pending promise callbacks run. */
async function flushTasks(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}
