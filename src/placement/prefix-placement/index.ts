/**
 * Places a request where its prefix is cached, weighed against waiting time and distance.
 *
 * Each prefix has a home set of engines that all instances derive alike without shared state:
 * starting from all engines, each piece of the prompt narrows the set by rendezvous hashing to as
 * large a part of the fleet as the share of requests with that prefix. Pieces that are computed outside
 * the home set count more, since they take cache space from other prefixes there.
 */

import type {BlockKey, MonotonicMs} from '../../identity/ids/index.js';
import type {EngineMonitor} from '../../targets/engine-monitor/index.js';
import {bytesPerToken, pieceBytes} from '../hash-prompt/index.js';
import {
	formatQueryScope, listCandidates, type Placement, type PlacementQuery,
} from '../placement/index.js';
import {PrefixHeat} from '../prefix-heat/index.js';
import {rankEngines} from '../rank-engines/index.js';

/** Options of `PrefixPlacement`. */
export type PrefixPlacementOptions = {
	/** Prompt tokens that an engine computes per millisecond. */
	readonly prefillTokensPerMs: number;
	/** Data centre of this instance. */
	readonly dataCentre: string;
	/** Extra time of a request to another data centre, in milliseconds. */
	readonly distanceMs: number;
	/** Returns a number from 0 to 1. */
	readonly random: () => number;
};

type Rating = {
	readonly engine: EngineMonitor;
	readonly occupancy: number;
	readonly waitMs: number;
	readonly cachedPieces: number;
};

const pieceTokens = pieceBytes / bytesPerToken;
/** Half-life of the heat of a prefix. Shorter ones make the shares of an instance with few requests a second too noisy. */
const heatHalfLifeMs = 8000;
/** An engine above this multiple of the mean occupancy is no home for new prefixes. */
const loadBound = 1.25;
/** Requests above the mean that are always allowed, so that the bound does not bite at low load. */
const loadSlack = 2;
/** Weight of a missing token outside the home set: it is computed once more and evicts other blocks. */
const outsideWeight = 2;
/** Disadvantage of an engine outside the home set that holds the prefix, so that a prefix that cools down narrows again. */
const outsidePenaltyMs = 5;
/** Scores that differ by less are equal: load reports are not more exact than this. */
const marginMs = 3;

/** Placement on cached prefixes. */
export class PrefixPlacement implements Placement {
	private readonly heat = new PrefixHeat(heatHalfLifeMs);

	constructor(private readonly options: PrefixPlacementOptions) {}

	choose(query: PlacementQuery, now: MonotonicMs): EngineMonitor | undefined {
		const scope = formatQueryScope(query);
		const ratings = listCandidates(query).map(engine => this.rateEngine(engine, query, scope, now));
		const home = this.selectHome(query.blocks, ratings, now);
		const scored = ratings.map(rating => ({engine: rating.engine, score: this.scoreEngine(rating, query, home.has(rating.engine))}));
		const best = Math.min(...scored.map(({score}) => score));
		const equals = scored.filter(({score}) => score <= best + marginMs);
		return equals[Math.floor(this.options.random() * equals.length)]?.engine;
	}

	noteSent(query: PlacementQuery, _engine: EngineMonitor, now: MonotonicMs): void {
		this.heat.note(query.blocks, now);
	}

	private rateEngine(engine: EngineMonitor, query: PlacementQuery, scope: string, now: MonotonicMs): Rating {
		const {prefillTokensPerMs} = this.options;
		const load = engine.estimateLoad(now, prefillTokensPerMs);
		// The wait so far is the best local estimate of the further wait for an engine without room.
		const queuedMs = query.full?.has(engine) ? query.waitedMs ?? 0 : 0;
		return {
			engine,
			occupancy: load.occupancy,
			waitMs: (load.pendingPrefillTokens / prefillTokensPerMs) + load.slotWaitMs + queuedMs,
			cachedPieces: engine.countCached(query.blocks, scope, now),
		};
	}

	private scoreEngine(rating: Rating, query: PlacementQuery, isHome: boolean): number {
		const missingTokens = query.promptTokens - (rating.cachedPieces * pieceTokens);
		const computeMs = missingTokens / this.options.prefillTokensPerMs;
		const distanceMs = rating.engine.target.dataCentre === this.options.dataCentre ? 0 : this.options.distanceMs;
		const outsideMs = isHome ? 0 : (computeMs * (outsideWeight - 1)) + outsidePenaltyMs;
		return rating.waitMs + computeMs + distanceMs + outsideMs;
	}

	/** Narrows the engines piece by piece to those that the prompt's deepest known prefix belongs on. */
	private selectHome(blocks: readonly BlockKey[], ratings: readonly Rating[], now: MonotonicMs): ReadonlySet<EngineMonitor> {
		const occupied = ratings.reduce((sum, rating) => sum + rating.occupancy, 0);
		const bound = (loadBound * occupied / ratings.length) + loadSlack;
		let engines = ratings.filter(rating => rating.occupancy <= bound).map(rating => rating.engine);
		for (const block of blocks) {
			const width = roundWidth(this.heat.readShare(block, now) * ratings.length);
			if (width < engines.length) {
				engines = rankEngines(block, engines, width);
			}

			if (engines.length <= 1) {
				break;
			}
		}

		return new Set(engines);
	}
}

/** Rounds up to a power of two, so that instances whose shares differ a little still arrive at the same set. */
function roundWidth(engines: number): number {
	return Math.max(1, 2 ** Math.ceil(Math.log2(engines)));
}
