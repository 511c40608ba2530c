/**
 * Hit rate of an oracle placement on a trace. The oracle knows the exact content of every cache
 * without delay and ignores load. Computing the optimal placement takes too long, so the result is
 * the best of several greedy placements.
 */

import type {BlockKey, Incarnation} from '../../identity/ids/index.js';
import {bytesPerToken, pieceBytes} from '../../placement/hash-prompt/index.js';
import {EngineCache} from '../../standin/engine-cache/index.js';
import {countPromptTokens, type TraceRequest} from '../generate-trace/index.js';
import {createBlockKeys} from '../replay-trace/index.js';

type OracleEngine = {readonly cache: EngineCache; computedBlocks: number};

const tokensPerPiece = pieceBytes / bytesPerToken;
/** Prefix lengths in pieces: all prompts that share a prefix of this length go to one engine. 0 pins no prefix. */
const pinnedPrefixLengths = [0, 1, 2, 3, 4, 6, 8, 9, 10, 11];

/** Engines of the oracle placement, and the time from which its cache hits count. */
export type OracleOptions = {readonly engines: number; readonly cacheBlocks: number; readonly measuredFromMs: number};

/** Calculates the highest hit rate of the greedy placements. */
export function calculateOracleHitRate(trace: readonly TraceRequest[], options: OracleOptions): number {
	return Math.max(...pinnedPrefixLengths.map(pinnedPrefixLength => calculateHitRate(trace, options, pinnedPrefixLength)));
}

function calculateHitRate(trace: readonly TraceRequest[], options: OracleOptions, pinnedPrefixLength: number): number {
	const {engines: engineCount, cacheBlocks, measuredFromMs} = options;
	const engines = Array.from({length: engineCount}, (_, index): OracleEngine => {
		const cache = new EngineCache(String(index) as Incarnation, cacheBlocks);
		return {cache, computedBlocks: 0};
	});
	const pinnedEngines = new Map<BlockKey, OracleEngine>();
	let cachedTokens = 0;
	let totalTokens = 0;
	for (const request of trace) {
		const blocks = createBlockKeys(request);
		const engine = chooseEngine(engines, blocks, pinnedEngines, pinnedPrefixLength);
		const matchedBlocks = engine.cache.matchPrefix(blocks);
		engine.computedBlocks += blocks.length - matchedBlocks;
		engine.cache.store(blocks);
		if (request.atMs >= measuredFromMs) {
			cachedTokens += matchedBlocks * tokensPerPiece;
			totalTokens += countPromptTokens(request);
		}
	}

	return cachedTokens / totalTokens;
}

/**
 * Chooses the engine that the prefix of `pinnedPrefixLength` pieces is pinned to. A prefix that isn't pinned yet goes to the engine that
 * computed the fewest blocks. Without pinning, chooses the engine with the longest cached prefix, and among equals the one that computed
 * the fewest blocks.
 */
function chooseEngine(
	engines: readonly OracleEngine[],
	blocks: readonly BlockKey[],
	pinnedEngines: Map<BlockKey, OracleEngine>,
	pinnedPrefixLength: number,
): OracleEngine {
	const prefixKey = pinnedPrefixLength === 0 ? undefined : blocks[Math.min(pinnedPrefixLength, blocks.length) - 1];
	const pinnedEngine = prefixKey === undefined ? undefined : pinnedEngines.get(prefixKey);
	if (pinnedEngine !== undefined) {
		return pinnedEngine;
	}

	const shouldPinPrefix = prefixKey !== undefined;
	const candidates = engines.map(engine => ({engine, cachedBlocks: shouldPinPrefix ? 0 : engine.cache.countPrefix(blocks)}))
		.toSorted((a, b) => (b.cachedBlocks - a.cachedBlocks) || (a.engine.computedBlocks - b.engine.computedBlocks));
	const {engine} = candidates[0]!;
	if (prefixKey !== undefined) {
		pinnedEngines.set(prefixKey, engine);
	}

	return engine;
}
