/** Baseline strategy: consistent hashing of the prompt's first pieces, regardless of load and prefix popularity. */

import type {EngineMonitor} from '../../targets/engine-monitor/index.js';
import type {BlockKey} from '../../identity/ids/index.js';
import {listCandidates, type Placement, type PlacementQuery} from '../placement/index.js';
import {rankEngines} from '../rank-engines/index.js';

/** Sends requests that share their first `hashedPieces` pieces to the same engine. */
export class ConsistentHashPlacement implements Placement {
	constructor(private readonly hashedPieces: number) {}

	choose(query: PlacementQuery): EngineMonitor | undefined {
		const {blocks} = query;
		const key = blocks[Math.min(this.hashedPieces, blocks.length) - 1] ?? query.organisation as string as BlockKey;
		return rankEngines(key, listCandidates(query), 1)[0];
	}

	recordSent(): void {
		// Only the hash decides.
	}
}
