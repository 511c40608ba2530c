/**
 * Which instances watch the object API themselves; the others follow these.
 *
 * Load pattern: each watching instance costs calls of the object API all the time, and its rates do not
 * grow with the fleet. A few watchers are enough, since each follower asks all of them by turns.
 */

import type {InstanceId} from '../../identity/ids/index.js';
import {rankByHash} from '../../random/rank-by-hash/index.js';

/** Live instances up to which all of them watch. */
const smallFleet = 12;
const fewestWatchers = 3;
/** Followers that one watcher serves. */
const followersPerWatcher = 32;
/** Time without news of the object API after which further instances watch, in milliseconds; longer than a short outage. */
const patienceMs = 4000;
/** Time after which the number of watchers grows once more, in milliseconds. */
const growthIntervalMs = 2000;

/** Lists the watchers among the live instances. All instances with the same view arrive at the same list. */
export function listWatchers(live: readonly InstanceId[], staleMs = 0): InstanceId[] {
	if (live.length <= smallFleet) {
		return [...live];
	}

	const growth = Math.max(0, Math.ceil((staleMs - patienceMs) / growthIntervalMs));
	const count = Math.max(fewestWatchers, Math.ceil(live.length / followersPerWatcher)) + (growth * fewestWatchers);
	return rankByHash('watchers', live, id => id).slice(0, count);
}

/** Whether `self` watches, when it has had no news of the object API for `staleMs`. */
export function hasWatchDuty(self: InstanceId, live: readonly InstanceId[], staleMs: number): boolean {
	return listWatchers(live, staleMs).includes(self);
}
