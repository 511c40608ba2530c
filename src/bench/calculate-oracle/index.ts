/**
 * Hit rate of an all-knowing placement on a recorded trace: it sees every cache exactly and at once
 * and ignores load. The optimum is not computable in useful time, so several greedy placements are
 * tried and the best one counts.
 */

import type {BlockKey, Incarnation} from '../../identity/ids/index.js';
import {bytesPerToken, pieceBytes} from '../../placement/hash-prompt/index.js';
import {EngineCache} from '../../standin/engine-cache/index.js';
import {countPromptTokens, type TraceRequest} from '../generate-trace/index.js';
import {createBlocks} from '../replay-trace/index.js';

type OracleEngine = {readonly cache: EngineCache; computedBlocks: number};

const pieceTokens = pieceBytes / bytesPerToken;
/** Depths, in pieces, at which whole subtrees are kept together on one engine; 0 keeps none together. */
const depths = [0, 1, 2, 3, 4, 6, 8, 9, 10, 11];

/** Engines of the all-knowing placement, and the time from which its hits count. */
export type OracleOptions = {readonly engines: number; readonly cacheBlocks: number; readonly measuredFromMs: number};

/** Calculates the best greedy hit rate. */
export function calculateOracle(trace: readonly TraceRequest[], options: OracleOptions): number {
	return Math.max(...depths.map(depth => calculateHitRate(trace, options, depth)));
}

function calculateHitRate(trace: readonly TraceRequest[], options: OracleOptions, depth: number): number {
	const {engines: count, cacheBlocks, measuredFromMs} = options;
	const engines = Array.from({length: count}, (_, index): OracleEngine => {
		const cache = new EngineCache(String(index) as Incarnation, cacheBlocks);
		return {cache, computedBlocks: 0};
	});
	const homes = new Map<BlockKey, OracleEngine>();
	let cached = 0;
	let total = 0;
	for (const request of trace) {
		const blocks = createBlocks(request);
		const engine = chooseEngine(engines, blocks, homes, depth);
		const matched = engine.cache.matchPrefix(blocks);
		engine.computedBlocks += blocks.length - matched;
		engine.cache.store(blocks);
		if (request.atMs >= measuredFromMs) {
			cached += matched * pieceTokens;
			total += countPromptTokens(request);
		}
	}

	return cached / total;
}

/** The home of the prefix of `depth` pieces if it has one, else the longest cached prefix; the engine that computed least decides between equals. */
function chooseEngine(engines: readonly OracleEngine[], blocks: readonly BlockKey[], homes: Map<BlockKey, OracleEngine>, depth: number): OracleEngine {
	const key = depth === 0 ? undefined : blocks[Math.min(depth, blocks.length) - 1];
	const home = key === undefined ? undefined : homes.get(key);
	if (home !== undefined) {
		return home;
	}

	const isSubtree = key !== undefined;
	const ranked = engines.map(engine => ({engine, held: isSubtree ? 0 : engine.cache.countPrefix(blocks)}))
		.toSorted((a, b) => (b.held - a.held) || (a.engine.computedBlocks - b.engine.computedBlocks));
	const {engine} = ranked[0]!;
	if (key !== undefined) {
		homes.set(key, engine);
	}

	return engine;
}
