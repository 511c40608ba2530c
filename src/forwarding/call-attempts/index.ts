/** The attempts of one call: the one in flight, and what those before it came to. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {Attempt} from '../session-types/index.js';

/** Keeps count of the attempts of a call. */
export class CallAttempts {
	/** The attempt in flight. */
	current: Attempt | undefined;
	/** Attempts so far. */
	count = 0;
	/** Ended attempts that may have run the call. */
	runs = 0;
	/** Targets that are not chosen again until the call has waited. */
	readonly triedTargets = new Set<FleetTarget>();

	/** Whether any target may have run the call, even in part. */
	get mayHaveRun(): boolean {
		return this.runs > 0 || this.current !== undefined;
	}

	/** Records that an attempt at `target` is about to start. */
	add(target: FleetTarget): void {
		this.count += 1;
		this.triedTargets.add(target);
	}

	/** Records that an attempt has ended; `mayHaveRun`: whether it may have run the call. */
	end(attempt: Attempt, mayHaveRun: boolean): void {
		attempt.target.endCall(attempt.record);
		this.runs += mayHaveRun ? 1 : 0;
		if (this.current === attempt) {
			this.current = undefined;
		}
	}

	/** Aborts the attempt in flight; it gets no further callbacks. */
	abort(): void {
		this.current?.exchange?.abort();
	}
}
