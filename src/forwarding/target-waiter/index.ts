/** Waits for a change of the fleet that may make a target usable. */

import type {TargetFleet} from '../../fleet/target-fleet/index.js';

/** Interval at which a waiting call checks again for a target with free capacity; shorter than the interval of load reports. */
const targetRecheckMs = 60;

/** Handles one wait at a time; a new wait cancels the previous one. */
export class TargetWaiter {
	private cancel: (() => void) | undefined;

	constructor(private readonly fleet: TargetFleet) {}

	/** Calls `resume` once: at the next change of the fleet, at the next check for free capacity, or after `timeoutMs`. */
	wait(timeoutMs: number, resume: () => void): void {
		this.stop();
		const finish = () => {
			this.stop();
			resume();
		};

		const unsubscribe = this.fleet.subscribe(finish);
		const timer = setTimeout(finish, Math.min(targetRecheckMs, timeoutMs));
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
