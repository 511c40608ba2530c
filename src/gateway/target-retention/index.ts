/**
 * Retains targets that are missing from the list shortly after an outage of the object API: entries of live targets may have
 * expired meanwhile, and the targets register again soon after it is back. An instance that is cut off from the object API, while
 * it answers others, has no reason to: what these pass on is as good as its own list.
 */

import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';

/** Time without an answer of the object API to any instance, as far as this one knows, from which it counts as down, in milliseconds. */
const outageMs = 1500;
/** Time after an outage for which missing targets are retained, in milliseconds. Live ones register again within it. */
const reregistrationGraceMs = 2100;

/** What an instance knows of the object API at a check. */
export type ObjectApiContact = {
	/** Whether the object API is interrupted for this instance. */
	readonly isInterrupted: boolean;
	/** Time since the object API is last known to have answered any instance, in milliseconds. */
	readonly silenceMs: number;
};

/** Retains missing targets during and shortly after an outage of the object API. */
export class TargetRetention {
	private readonly retainedTargets = new Set<string>();
	private previousTargets: ReadonlyMap<string, TargetDescription> = new Map();
	private retainUntil = 0;
	private isDown = false;
	private era = 0;

	/** Updates what is known of the object API at `now`. If it returns true, call `addRetainedTargets` to drop the retained targets. */
	updateContact({isInterrupted, silenceMs}: ObjectApiContact, now: MonotonicMs): boolean {
		const wasDown = this.isDown;
		this.isDown = isInterrupted && silenceMs > outageMs;
		if (this.isDown || wasDown) {
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
