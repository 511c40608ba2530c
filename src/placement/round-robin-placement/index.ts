/** Baseline strategy: engines in turn. */

import type {EngineMonitor} from '../../targets/engine-monitor/index.js';
import {listCandidates, type Placement, type PlacementQuery} from '../placement/index.js';

/** Sends each request to the next candidate in turn. */
export class RoundRobinPlacement implements Placement {
	private requestCount = 0;

	choose(query: PlacementQuery): EngineMonitor | undefined {
		const candidates = listCandidates(query);
		if (candidates.length === 0) {
			return undefined;
		}

		this.requestCount += 1;
		return candidates[this.requestCount % candidates.length];
	}

	recordSent(): void {
		// Round robin does not depend on earlier requests.
	}
}
