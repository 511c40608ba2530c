/** Creates the placement strategy that the settings select. */

import type {Placement} from '../placement/index.js';
import {ConsistentHashPlacement} from '../consistent-hash-placement/index.js';
import {LeastLoadedPlacement} from '../least-loaded-placement/index.js';
import {PrefixPlacement} from '../prefix-placement/index.js';
import {RoundRobinPlacement} from '../round-robin-placement/index.js';

/** Names of the placement strategies in the settings. */
export const placementStrategies = ['roundRobin', 'leastLoaded', 'consistentHash', 'prefix'] as const;

export type PlacementStrategy = typeof placementStrategies[number];

/** Options of the strategies, named after the settings that they come from. */
export type PlacementOptions = {
	readonly prefillTokensPerMs: number;
	readonly hashedPieces: number;
	readonly distanceMs: number;
	readonly dataCentre: string;
	readonly random?: () => number;
};

export function createPlacement(strategy: PlacementStrategy, options: PlacementOptions): Placement {
	switch (strategy) {
		case 'roundRobin': {
			return new RoundRobinPlacement();
		}

		case 'leastLoaded': {
			return new LeastLoadedPlacement(options.prefillTokensPerMs);
		}

		case 'consistentHash': {
			return new ConsistentHashPlacement(options.hashedPieces);
		}

		case 'prefix': {
			return new PrefixPlacement({...options, random: options.random ?? Math.random});
		}
	}
}
