/** Waits for a change of the fleet that may make a target usable. */

import type {TargetFleet} from '../../fleet/target-fleet/index.js';

/** One wait at a time. */
export class TargetWaiter {
	private cancel: (() => void) | undefined;

	constructor(private readonly fleet: TargetFleet) {}

	/** Calls `resume` once, at the next change or after `limitMs` milliseconds. */
	wait(limitMs: number, resume: () => void): void {
		this.stop();
		const end = () => {
			this.stop();
			resume();
		};

		const unsubscribe = this.fleet.subscribe(end);
		const timer = setTimeout(end, limitMs);
		this.cancel = () => {
			unsubscribe();
			clearTimeout(timer);
		};
	}

	stop(): void {
		this.cancel?.();
		this.cancel = undefined;
	}
}
