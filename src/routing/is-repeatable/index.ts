/** Tells which calls may run more than once. */

import type {Route} from '../routing-types/index.js';

/** Whether a call of the route may run again, from the beginning or from the last event that the caller received. */
export function isRepeatable({kind, isResumable}: Route): boolean {
	return kind === 'idempotent' || (kind === 'streaming' && isResumable);
}
