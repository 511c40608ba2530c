/**
 * Places a request where its prefix is cached, weighed against waiting time and distance.
 *
 * Each prefix has a home set of engines that all instances derive alike without shared state. Starting
 * from all engines, each piece of the prompt narrows the set by rendezvous hashing, so that its share of the
 * fleet is about the share of requests with that prefix. Pieces that are computed outside the home set cost
 * more, because they take cache space from other prefixes there.
 */

import type {BlockKey, MonotonicMs} from '../../identity/ids/index.js';
import type {EngineMonitor} from '../../targets/engine-monitor/index.js';
import {bytesPerToken, pieceBytes} from '../hash-prompt/index.js';
import {
	formatQueryScope, listCandidates, type Placement, type PlacementQuery,
} from '../placement/index.js';
import {PrefixPopularity} from '../prefix-popularity/index.js';
import {rankEngines} from '../rank-engines/index.js';

/** Options of `PrefixPlacement`. */
export type PrefixPlacementOptions = {
	/** Prompt tokens that an engine processes per millisecond. */
	readonly prefillTokensPerMs: number;
	/** Data centre of this instance. */
	readonly dataCentre: string;
	/** Additional latency of a request to another data centre, in milliseconds. */
	readonly distanceMs: number;
	/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
};

type Rating = {
	readonly engine: EngineMonitor;
	readonly occupancy: number;
	readonly waitMs: number;
	readonly cachedPieces: number;
};

const pieceTokens = pieceBytes / bytesPerToken;
/** Half-life of the popularity of a prefix, in milliseconds. With a shorter one, shares are too noisy on an instance with few requests per second. */
const popularityHalfLifeMs = 8000;
/** An engine above this multiple of the mean occupancy is left out of the home sets. */
const maximumRelativeOccupancy = 1.25;
/** Requests that are always allowed above that multiple, so that the limit has no effect at low load. */
const extraOccupancyRequests = 2;
/** Cost factor of a missing token outside the home set, where it is computed once more and evicts other blocks. */
const nonHomeCostFactor = 2;
/** Penalty of an engine outside the home set, in milliseconds. It narrows a prefix that loses popularity, even if more engines have it cached. */
const nonHomePenaltyMs = 5;
/** Scores within this margin of the lowest count as equal, since load reports are no more precise, in milliseconds. */
const scoreToleranceMs = 3;

/** Placement by cached prefixes and load. */
export class PrefixPlacement implements Placement {
	private readonly popularity = new PrefixPopularity(popularityHalfLifeMs);

	constructor(private readonly options: PrefixPlacementOptions) {}

	choose(query: PlacementQuery, now: MonotonicMs): EngineMonitor | undefined {
		const scope = formatQueryScope(query);
		const ratings = listCandidates(query).map(engine => this.rateEngine(engine, query, scope, now));
		const homeSet = this.selectHome(query.blocks, ratings, now);
		const scores = ratings.map(rating => ({engine: rating.engine, scoreMs: this.scoreEngine(rating, query, homeSet.has(rating.engine))}));
		const lowestScoreMs = Math.min(...scores.map(({scoreMs}) => scoreMs));
		const nearBest = scores.filter(({scoreMs}) => scoreMs <= lowestScoreMs + scoreToleranceMs);
		return nearBest[Math.floor(this.options.random() * nearBest.length)]?.engine;
	}

	recordSent(query: PlacementQuery, _engine: EngineMonitor, now: MonotonicMs): void {
		this.popularity.recordRequest(query.blocks, now);
	}

	private rateEngine(engine: EngineMonitor, query: PlacementQuery, scope: string, now: MonotonicMs): Rating {
		const {prefillTokensPerMs} = this.options;
		const load = engine.estimateLoad(now, prefillTokensPerMs);
		// The time waited so far is the best local estimate of the remaining wait for a full engine.
		const queueWaitMs = query.full?.has(engine) ? query.waitedMs ?? 0 : 0;
		return {
			engine,
			occupancy: load.occupancy,
			waitMs: (load.pendingPrefillTokens / prefillTokensPerMs) + load.slotWaitMs + queueWaitMs,
			cachedPieces: engine.countCached(query.blocks, scope, now),
		};
	}

	private scoreEngine(rating: Rating, query: PlacementQuery, isHome: boolean): number {
		const missingTokens = query.promptTokens - (rating.cachedPieces * pieceTokens);
		const computeMs = missingTokens / this.options.prefillTokensPerMs;
		const distanceMs = rating.engine.target.dataCentre === this.options.dataCentre ? 0 : this.options.distanceMs;
		const nonHomeMs = isHome ? 0 : (computeMs * (nonHomeCostFactor - 1)) + nonHomePenaltyMs;
		return rating.waitMs + computeMs + distanceMs + nonHomeMs;
	}

	/** Selects the home set of the prompt: narrows the engines piece by piece according to the popularity of each prefix. */
	private selectHome(blocks: readonly BlockKey[], ratings: readonly Rating[], now: MonotonicMs): ReadonlySet<EngineMonitor> {
		const totalOccupancy = ratings.reduce((sum, rating) => sum + rating.occupancy, 0);
		const maximumOccupancy = (maximumRelativeOccupancy * totalOccupancy / ratings.length) + extraOccupancyRequests;
		let engines = ratings.filter(rating => rating.occupancy <= maximumOccupancy).map(rating => rating.engine);
		for (const block of blocks) {
			const setSize = roundUpToPowerOfTwo(this.popularity.readShare(block, now) * ratings.length);
			if (setSize < engines.length) {
				engines = rankEngines(block, engines, setSize);
			}

			if (engines.length <= 1) {
				break;
			}
		}

		return new Set(engines);
	}
}

/** Rounds up to a power of two (at least 1), so that instances whose shares differ slightly still derive the same set. */
function roundUpToPowerOfTwo(engineCount: number): number {
	return Math.max(1, 2 ** Math.ceil(Math.log2(engineCount)));
}
