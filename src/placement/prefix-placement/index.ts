/** Places a request where its prefix is cached, weighed against waiting time and distance. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EngineMonitor} from '../../targets/engine-monitor/index.js';
import {LeastLoadedPlacement} from '../least-loaded-placement/index.js';
import type {Placement, PlacementQuery} from '../placement/index.js';

/** Options of `PrefixPlacement`. */
export type PrefixPlacementOptions = {
	readonly prefillTokensPerMs: number;
	/** Data centre of this instance. */
	readonly dataCentre: string;
	/** Extra time of a request to another data centre, in milliseconds. */
	readonly distanceMs: number;
	/** Returns a number from 0 to 1. */
	readonly random: () => number;
};

/** Placement on cached prefixes. */
export class PrefixPlacement implements Placement {
	private readonly leastLoaded: LeastLoadedPlacement;

	constructor(options: PrefixPlacementOptions) {
		this.leastLoaded = new LeastLoadedPlacement(options.prefillTokensPerMs);
	}

	choose(query: PlacementQuery, now: MonotonicMs): EngineMonitor | undefined {
		return this.leastLoaded.choose(query, now);
	}

	noteSent(_query: PlacementQuery, _engine: EngineMonitor, _now: MonotonicMs): void {
		// Nothing is recorded yet.
	}
}
