/**
 * The needs for which no target had room in one pass over a queue.
 *
 * Load pattern: while all engines are full, hundreds of calls with the same needs wait. One of them shows that none can be sent.
 */

import {coversNeeds, coversTargets} from '../covers-needs/index.js';
import type {CallNeeds} from '../queued-call/index.js';

/** What a failure tells of other calls. */
export type FailureScope = {
	/** Whether room that frees up is held for the call, so that smaller ones don't take it. */
	readonly isHeld: boolean;
	/** Whether other calls with the same needs would fail, too. */
	readonly appliesToOthers: boolean;
};

/** Needs that could not be met. */
export class FailedNeeds {
	private readonly failed: CallNeeds[] = [];
	private readonly held: CallNeeds[] = [];

	/** Records that no target had room. */
	add(needs: CallNeeds, {isHeld, appliesToOthers}: FailureScope): void {
		if (appliesToOthers) {
			this.failed.push(needs);
		}

		if (isHeld) {
			this.held.push(needs);
		}
	}

	/** Whether a call with `needs` can't be sent in this pass. */
	matches(needs: CallNeeds): boolean {
		return this.failed.some(other => coversNeeds(other, needs)) || this.held.some(other => coversTargets(other, needs));
	}
}
