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

/** Interval at which further watchers are added while all regular watchers have failed, in milliseconds. */
const replacementIntervalMs = 400;

/** Whether the last call to an instance failed, as far as the asking instance knows. */
export type FailureCheck = (id: InstanceId) => boolean;

const hasNeverFailed: FailureCheck = () => false;

/**
 * Lists the watchers among the live instances: the regular ones, and additional ones that have not failed. Instances with the
 * same view of the fleet, the same `staleMs` and the same failures get the same list.
 */
export function listWatchers(live: readonly InstanceId[], staleMs = 0, hasFailed = hasNeverFailed): InstanceId[] {
	if (live.length <= smallFleetSize) {
		return [...live];
	}

	const ranked = rankByHash('watchers', live, id => id);
	const regularCount = countRegularWatchers(live.length);
	const regular = ranked.slice(0, regularCount);
	const additions = regular.every(id => hasFailed(id)) ? countReplacements(staleMs) : countAdditions(staleMs);
	const spare = additions === 0 ? [] : ranked.slice(regularCount).filter(id => !hasFailed(id));
	return [...regular, ...spare.slice(0, Math.min(additions, maximumAdditions) * minimumWatchers)];
}

/** Whether all regular watchers of a large fleet have failed. */
export function hasLostRegularWatchers(live: readonly InstanceId[], hasFailed: FailureCheck): boolean {
	return live.length > smallFleetSize && listWatchers(live).every(id => hasFailed(id));
}

function countRegularWatchers(liveCount: number): number {
	return Math.max(minimumWatchers, Math.ceil(liveCount / instancesPerWatcher));
}

function countAdditions(staleMs: number): number {
	return Math.max(0, Math.ceil((staleMs - additionalWatchersDelayMs) / additionalWatchersIntervalMs));
}

/** Counts additions while all regular watchers have failed: the first follows at once, the second after the usual delay. */
function countReplacements(staleMs: number): number {
	return 1 + Math.max(0, Math.ceil((staleMs - additionalWatchersDelayMs) / replacementIntervalMs));
}
