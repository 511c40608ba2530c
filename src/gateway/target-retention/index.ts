/**
 * Retains targets that are missing from the list shortly after an interruption of the object API: entries
 * of live targets may have expired meanwhile, and the targets register again soon after it is back.
 */

import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';

/** Time after an interruption for which missing targets are retained, in milliseconds. Live ones register again within it. */
const reregistrationGraceMs = 2100;

/** Retains missing targets during and shortly after an interruption of the object API. */
export class TargetRetention {
	private readonly retainedTargets = new Set<string>();
	private previousTargets: ReadonlyMap<string, TargetDescription> = new Map();
	private retainUntil = 0;
	private era = 0;

	/** Updates whether the object API is interrupted at `now`. If it returns true, call `addRetainedTargets` to drop the retained targets. */
	updateInterruption(isInterrupted: boolean, now: MonotonicMs): boolean {
		if (isInterrupted) {
			this.retainUntil = now + reregistrationGraceMs;
			return false;
		}

		if (now < this.retainUntil || this.retainedTargets.size === 0) {
			return false;
		}

		this.retainedTargets.clear();
		return true;
	}

	/** Records the era of the list. A copy from which the object API was restored may lack targets that registered since. */
	recordEra(era: number, now: MonotonicMs): void {
		if (era > this.era) {
			this.era = era;
			this.retainUntil = now + reregistrationGraceMs;
		}
	}

	/** Returns the listed targets and the missing ones that are retained. */
	addRetainedTargets(listedTargets: ReadonlyMap<string, TargetDescription>, now: MonotonicMs): ReadonlyMap<string, TargetDescription> {
		const targets = new Map(listedTargets);
		for (const [name, description] of this.previousTargets) {
			if (targets.has(name)) {
				this.retainedTargets.delete(name);
			} else if (now < this.retainUntil && !description.isLeaving) {
				this.retainedTargets.add(name);
				targets.set(name, description);
			}
		}

		this.previousTargets = targets;
		return targets;
	}
}
