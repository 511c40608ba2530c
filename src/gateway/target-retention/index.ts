/**
 * Keeps targets for a moment that are missing from the list after an interruption of the object API:
 * entries of live targets may have lapsed meanwhile, and are entered again shortly after its return.
 */

import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';

/** Time after an interruption for which missing targets stay known, in milliseconds. Live ones are entered again by then. */
const returnGraceMs = 2100;

/** The targets that stay known although the list lacks them. */
export class TargetRetention {
	private readonly keptTargets = new Set<string>();
	private lastTargets: ReadonlyMap<string, TargetDescription> = new Map();
	private interruptedUntil = 0;

	/** Notes whether the object API is interrupted at `now`. Returns whether kept targets have to be dropped, by `complete`. */
	noteState(isInterrupted: boolean, now: MonotonicMs): boolean {
		if (isInterrupted) {
			this.interruptedUntil = now + returnGraceMs;
			return false;
		}

		if (now < this.interruptedUntil || this.keptTargets.size === 0) {
			return false;
		}

		this.keptTargets.clear();
		return true;
	}

	/** Adds the missing targets that stay known to those of the list. */
	complete(listed: ReadonlyMap<string, TargetDescription>, now: MonotonicMs): ReadonlyMap<string, TargetDescription> {
		const targets = new Map(listed);
		for (const [name, description] of this.lastTargets) {
			if (targets.has(name)) {
				this.keptTargets.delete(name);
			} else if (now < this.interruptedUntil && !description.isLeaving) {
				this.keptTargets.add(name);
				targets.set(name, description);
			}
		}

		this.lastTargets = targets;
		return targets;
	}
}
