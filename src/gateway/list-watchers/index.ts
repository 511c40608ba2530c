/**
 * Selects the instances that watch the object API themselves; the others follow them.
 *
 * Each watcher calls the object API continuously, and the rates that the object API allows do not grow with
 * the fleet. A few watchers are enough, because each follower polls all of them round robin.
 */

import type {InstanceId} from '../../identity/ids/index.js';
import {rankByHash} from '../../random/rank-by-hash/index.js';

/** Live instances up to which all of them watch. */
const smallFleetSize = 12;
const minimumWatchers = 3;
/** Number of live instances for each watcher in a large fleet. */
const instancesPerWatcher = 32;
/** Time without a healthy watcher after which additional instances watch, in milliseconds; longer than a short outage. */
const additionalWatchersDelayMs = 4000;
/** Interval at which further watchers are added, in milliseconds. */
const additionalWatchersIntervalMs = 2000;

/** Lists the watchers among the live instances. Instances with the same view of the fleet and the same `staleMs` get the same list. */
export function listWatchers(live: readonly InstanceId[], staleMs = 0): InstanceId[] {
	if (live.length <= smallFleetSize) {
		return [...live];
	}

	const additionalSteps = Math.max(0, Math.ceil((staleMs - additionalWatchersDelayMs) / additionalWatchersIntervalMs));
	const count = Math.max(minimumWatchers, Math.ceil(live.length / instancesPerWatcher)) + (additionalSteps * minimumWatchers);
	return rankByHash('watchers', live, id => id).slice(0, count);
}

/** Whether `self` is a watcher, when it has had no contact with the object API, directly or through a peer, for `staleMs`. */
export function isWatcher(self: InstanceId, live: readonly InstanceId[], staleMs: number): boolean {
	return listWatchers(live, staleMs).includes(self);
}
