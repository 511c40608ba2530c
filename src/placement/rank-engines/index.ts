/** Rendezvous hashing: each key has its own ranking of the engines, so that a leaving engine moves only its own keys. */

import createXxhash from 'xxhash-wasm';
import type {BlockKey} from '../../identity/ids/index.js';
import type {EngineMonitor} from '../../targets/engine-monitor/index.js';

const {h32} = await createXxhash();

/** Calculates the weight of an engine for a key. The engine with the highest weight ranks first. */
export function calculateWeight(key: BlockKey, engine: EngineMonitor): number {
	return h32(`${key}\n${engine.target.id}`);
}

/** Returns the `count` engines with the highest weights for `key`, highest first. */
export function rankEngines(key: BlockKey, engines: readonly EngineMonitor[], count = engines.length): EngineMonitor[] {
	return engines
		.map(engine => ({engine, weight: calculateWeight(key, engine)}))
		.toSorted((a, b) => b.weight - a.weight)
		.slice(0, count)
		.map(({engine}) => engine);
}
