/**
 * Selects the instances that watch the object API themselves; the others follow them.
 *
 * Each watcher calls the object API continuously, and the rates that the object API allows do not grow with
 * the fleet. A few watchers are enough, because each follower polls all of them round robin.
 */

import type {InstanceId} from '../../identity/ids/index.js';
import {directExchangePeerLimit} from '../../fleet/rank-aggregators/index.js';
import {rankByHash} from '../../random/rank-by-hash/index.js';

/** Live instances up to which all of them watch. */
export const smallFleetSize = directExchangePeerLimit;
const minimumWatchers = 3;
/** Number of live instances for each watcher in a large fleet. */
const instancesPerWatcher = 32;
/** Time without a healthy watcher after which additional instances watch, in milliseconds; longer than a follower's poll takes. */
const additionalWatchersDelayMs = 1500;
/** Interval at which further watchers are added, in milliseconds. */
const additionalWatchersIntervalMs = 1500;
/** Maximum number of additions: if the object API turned only some instances away, one of these would have reached it. */
const maximumAdditions = 3;

/** Lists the watchers among the live instances. Instances with the same view of the fleet and the same `staleMs` get the same list. */
export function listWatchers(live: readonly InstanceId[], staleMs = 0): InstanceId[] {
	if (live.length <= smallFleetSize) {
		return [...live];
	}

	const additions = Math.max(0, Math.ceil((staleMs - additionalWatchersDelayMs) / additionalWatchersIntervalMs));
	const count = Math.max(minimumWatchers, Math.ceil(live.length / instancesPerWatcher)) + (Math.min(additions, maximumAdditions) * minimumWatchers);
	return rankByHash('watchers', live, id => id).slice(0, count);
}

/** Whether `self` is a watcher, when it has had no contact with the object API, directly or through a peer, for `staleMs`. */
export function isWatcher(self: InstanceId, live: readonly InstanceId[], staleMs: number): boolean {
	return listWatchers(live, staleMs).includes(self);
}
