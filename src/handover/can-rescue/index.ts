/** Tells which calls that failed at this instance another one may still serve. */

import type {RouterError} from '../../results/create-router-error/index.js';
import type {ResultName} from '../../results/result-codes/index.js';
import {isRepeatable} from '../../routing/is-repeatable/index.js';
import type {Route} from '../../routing/routing-types/index.js';

/** Errors of calls that found no target. */
const rescuedErrors: ReadonlySet<string> = new Set<ResultName>(['targetRefused', 'noTarget', 'overloaded']);

/** Whether a call that ended with `error` may be passed on: no target ran it, or it may run again. */
export function canRescue(error: RouterError, route: Route): boolean {
	return error.notRun ? rescuedErrors.has(error.entry.name) : isRepeatable(route) && error.entry.name === 'outcomeUnknown';
}
