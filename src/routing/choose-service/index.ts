/** Choice of a service where a route splits its calls over several. */

import type {Route, ServiceId} from '../routing-types/index.js';

/** Chooses a service in proportion to the weights; `draw` is from 0 up to, not including, 1. Undefined when no share has weight. */
export function chooseService(route: Route, draw: number): ServiceId | undefined {
	const total = route.shares.reduce((sum, share) => sum + share.weight, 0);
	let rest = draw * total;
	for (const share of route.shares) {
		rest -= share.weight;
		if (rest < 0) {
			return share.service;
		}
	}

	return undefined;
}
