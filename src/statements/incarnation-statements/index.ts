/**
 * What one incarnation of a target has said of itself, in its answers and by its entry. It belongs to the process of the target, not to its
 * entry in the list: a process goes on after its entry is removed, and an older copy of the list may show the entry again.
 */

import {StatedNumber} from '../stated-number/index.js';
import {TargetPause} from '../target-pause/index.js';

/** Statements of one incarnation that are in force. */
export class IncarnationStatements {
	/** Requests per second that the target takes from all instances together. */
	readonly limit = new StatedNumber();
	/** Requests that the target can turn away in a second, from all instances together, without falling over. */
	readonly brittleness = new StatedNumber();
	readonly pause = new TargetPause();
	/** Weights version of each model, as the target's last answer or report named it. */
	readonly weightsVersions = new Map<string, number>();
	/** Whether an entry has shown that the target is leaving. Targets that leave end; an entry without it is an older copy. */
	isLeavingListed = false;
	private isLeavingStated = false;

	/** Whether the target has said that it is leaving. */
	get isLeaving(): boolean {
		return this.isLeavingStated;
	}

	/** Whether anything is known that a new object for the same incarnation would lack. */
	get hasAny(): boolean {
		return this.isLeavingStated || this.isLeavingListed || this.weightsVersions.size > 0 || this.pause.readUntil() > Number.NEGATIVE_INFINITY
			|| this.limit.readStatedAt() > Number.NEGATIVE_INFINITY || this.brittleness.readStatedAt() > Number.NEGATIVE_INFINITY;
	}

	/** Records that the target is leaving, which nothing takes back. Returns whether that is new. */
	recordLeaving(): boolean {
		const isNew = !this.isLeavingStated;
		this.isLeavingStated = true;
		return isNew;
	}
}
