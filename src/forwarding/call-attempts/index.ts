/**
 * The attempts of one call: those in flight, and what those before them came to.
 *
 * A second attempt is in flight while the current one is silent: the successor, which takes the call over if it is the first
 * with something that the caller can use.
 */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {Attempt} from '../session-types/index.js';

/** Keeps count of the attempts of a call. */
export class CallAttempts {
	/** The attempt that the call is at. */
	current: Attempt | undefined;
	/** The attempt that takes the call over if it delivers before the current one goes on. */
	successor: Attempt | undefined;
	/** Attempts so far. */
	count = 0;
	/** Ended attempts that may have run the call. */
	runs = 0;
	/** Targets that are not chosen again until the call has waited. */
	readonly triedTargets = new Set<FleetTarget>();

	/** The attempts that may still get an answer. */
	get inFlight(): readonly Attempt[] {
		return [this.current, this.successor].filter(attempt => attempt !== undefined);
	}

	/** Returns the attempt that is in flight beside `attempt`. */
	findOther(attempt: Attempt): Attempt | undefined {
		return this.inFlight.find(other => other !== attempt);
	}

	/** Attempts that may have run the call, or may yet do so. */
	get possibleRuns(): number {
		return this.runs + this.inFlight.length;
	}

	/** Whether any target may have run the call, even in part. */
	get mayHaveRun(): boolean {
		return this.possibleRuns > 0;
	}

	/** Records that an attempt at `target` is about to start. */
	add(target: FleetTarget): void {
		this.count += 1;
		this.triedTargets.add(target);
	}

	/** Records that an attempt has ended; `mayHaveRun`: whether it may have run the call. When the current one ends, its successor becomes the current one. */
	end(attempt: Attempt, mayHaveRun: boolean): void {
		attempt.target.endCall(attempt.record);
		this.runs += mayHaveRun ? 1 : 0;
		if (this.current === attempt) {
			this.current = this.successor;
			this.successor = undefined;
		} else if (this.successor === attempt) {
			this.successor = undefined;
		}
	}

	/** Aborts the attempts in flight; they get no further callbacks. */
	abort(): void {
		for (const attempt of this.inFlight) {
			attempt.exchange?.abort();
		}
	}

	/** Aborts the attempts in flight and records that they have ended and may have run the call. */
	endAll(): void {
		for (const attempt of this.inFlight) {
			attempt.exchange?.abort();
			this.end(attempt, true);
		}
	}
}
