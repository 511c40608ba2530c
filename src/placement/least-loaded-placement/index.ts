/** Baseline strategy: the least loaded engine, regardless of what it has cached. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EngineMonitor} from '../../targets/engine-monitor/index.js';
import {listCandidates, type Placement, type PlacementQuery} from '../placement/index.js';

/** Sends each request to the candidate with the fewest requests. Ties go to the one with the fewest pending prefill tokens. */
export class LeastLoadedPlacement implements Placement {
	constructor(private readonly prefillTokensPerMs: number) {}

	choose(query: PlacementQuery, now: MonotonicMs): EngineMonitor | undefined {
		const loads = listCandidates(query).map(engine => ({engine, load: engine.estimateLoad(now, this.prefillTokensPerMs)}));
		loads.sort((a, b) => (a.load.occupancy - b.load.occupancy) || (a.load.pendingPrefillTokens - b.load.pendingPrefillTokens));
		return loads[0]?.engine;
	}

	recordSent(): void {
		// `EngineMonitor` counts the requests in flight.
	}
}
