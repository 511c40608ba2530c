/** Draws the service of a call among those of its route. */

import {deriveFraction} from '../../random/derive-fraction/index.js';
import {chooseService} from '../../routing/choose-service/index.js';
import type {Route, ServiceId} from '../../routing/routing-types/index.js';
import type {InboundCall} from '../call-types/index.js';

/**
 * Draws a service by weight; undefined if the route has none. A stream that its caller takes up gets the service that it
 * began at, at any instance, as long as the weights are the same.
 */
export function drawService(route: Route, {id, resumes}: Pick<InboundCall, 'id' | 'resumes'>, draw: () => number): ServiceId | undefined {
	// With one service, any number chooses it.
	const mustDerive = route.kind === 'streaming' && route.shares.length > 1;
	return chooseService(route, mustDerive ? deriveFraction(resumes ?? id) : draw());
}
