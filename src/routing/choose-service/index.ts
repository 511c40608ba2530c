/** Chooses a service for a call whose route splits calls among several. */

import type {Route, ServiceId} from '../routing-types/index.js';

/** Chooses a service in proportion to the weights; `draw` is in the range [0, 1). Undefined if no share has a positive weight. */
export function chooseService(route: Route, draw: number): ServiceId | undefined {
	const totalWeight = route.shares.reduce((sum, share) => sum + share.weight, 0);
	let remainingWeight = draw * totalWeight;
	for (const share of route.shares) {
		remainingWeight -= share.weight;
		if (remainingWeight < 0) {
			return share.service;
		}
	}

	return undefined;
}
