/**
 * The attempts of one call: those in flight, and what those before them came to.
 *
 * Several are in flight while the earlier ones are silent. The first that delivers something that the caller can use goes on
 * with the call.
 */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {Attempt} from '../session-types/index.js';

/** Receives the beginning and the end of each attempt of a call. */
export type AttemptObserver = {
	recordBegun?(attempt: Attempt): void;
	/** `mayHaveRun`: whether the attempt may have run the call. */
	recordEnded(attempt: Attempt, mayHaveRun: boolean): void;
};

/** Keeps count of the attempts of a call. */
export class CallAttempts {
	/** Attempts so far. */
	count = 0;
	/** Ended attempts that may have run the call, those of other instances included. */
	runs: number;
	/** Targets that are not chosen again until the call has waited. */
	readonly triedTargets = new Set<FleetTarget>();
	private readonly open = new Set<Attempt>();

	/** `priorRuns`: runs at other instances, which passed the call on. */
	constructor(private readonly observers: readonly AttemptObserver[] = [], priorRuns = 0) {
		this.runs = priorRuns;
	}

	/** The attempts that may still get an answer, the oldest one first. */
	get inFlight(): readonly Attempt[] {
		return [...this.open];
	}

	/** The oldest attempt in flight; undefined if there is none. */
	get oldest(): Attempt | undefined {
		return this.inFlight[0];
	}

	/** The newest attempt in flight; undefined if there is none. */
	get newest(): Attempt | undefined {
		return this.inFlight.at(-1);
	}

	/** Attempts that may have run the call, or may yet do so. */
	get possibleRuns(): number {
		return this.runs + this.open.size;
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

	/** Records that an attempt is in flight. */
	begin(attempt: Attempt): void {
		this.open.add(attempt);
		for (const observer of this.observers) {
			observer.recordBegun?.(attempt);
		}
	}

	/** Whether `attempt` is the only one in flight. */
	isAlone(attempt: Attempt): boolean {
		return this.open.size === 1 && this.open.has(attempt);
	}

	/** Lists the attempts in flight beside `attempt`, the oldest one first. */
	listOthers(attempt: Attempt): readonly Attempt[] {
		return this.inFlight.filter(other => other !== attempt);
	}

	/** Records that an attempt has ended; `mayHaveRun`: whether it may have run the call. */
	end(attempt: Attempt, mayHaveRun: boolean): void {
		attempt.target.endCall(attempt.record, attempt.lastReceivedAt);
		this.runs += mayHaveRun ? 1 : 0;
		this.open.delete(attempt);
		for (const observer of this.observers) {
			observer.recordEnded(attempt, mayHaveRun);
		}
	}

	/** Aborts the attempts in flight; they get no further callbacks. */
	abort(): void {
		for (const attempt of this.open) {
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
