/** Calculates until when a call has to be answered. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {Route} from '../../routing/routing-types/index.js';
import type {InboundCall} from '../call-types/index.js';

/** Returns the deadline: what its caller waits, or what its route allows if that is less. */
export function calculateCallDeadline({waitMs}: Pick<InboundCall, 'waitMs'>, {timeoutMs}: Pick<Route, 'timeoutMs'>, arrivedAt: MonotonicMs): MonotonicMs {
	return arrivedAt + Math.min(waitMs ?? timeoutMs, timeoutMs) as MonotonicMs;
}
