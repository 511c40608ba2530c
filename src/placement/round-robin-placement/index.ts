/** Baseline: engines in turn. */

import type {EngineMonitor} from '../../targets/engine-monitor/index.js';
import {listCandidates, type Placement, type PlacementQuery} from '../placement/index.js';

/** Sends each request to the next candidate in turn. */
export class RoundRobinPlacement implements Placement {
	private next = 0;

	choose(query: PlacementQuery): EngineMonitor | undefined {
		const candidates = listCandidates(query);
		if (candidates.length === 0) {
			return undefined;
		}

		this.next += 1;
		return candidates[this.next % candidates.length];
	}

	noteSent(): void {
		// Round robin keeps no record of what was sent.
	}
}
