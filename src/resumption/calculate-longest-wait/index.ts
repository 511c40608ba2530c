/** Calculates for how long after its beginning a stream may be taken up by its caller. */

import type {Route} from '../../routing/routing-types/index.js';

/** Time that callers may wait beyond the timeout of a route, in milliseconds. */
const marginMs = 10_000;
/** Wait that is assumed before there is a configuration, in milliseconds. */
const assumedTimeoutMs = 60_000;

/** Returns the longest wait of the callers of `routes` for a stream, in milliseconds. */
export function calculateLongestWaitMs(routes: readonly Route[] | undefined): number {
	const timeouts = (routes ?? []).filter(({kind}) => kind === 'streaming').map(({timeoutMs}) => timeoutMs);
	return (routes === undefined ? assumedTimeoutMs : Math.max(0, ...timeouts)) + marginMs;
}
