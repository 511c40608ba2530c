/** Tells a status that the store has lost from one that the feed has not brought yet. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {KnownRollout} from '../order-register/index.js';

/** Time after which a stored status that is older than the known one counts as lost, in milliseconds; the feed of the store is faster. */
export const lostStatusDelayMs = 2000;

/** Whether the store lacks the status that is known, because it was restored from a copy. */
export function isStatusLost(rollout: KnownRollout, now: MonotonicMs): boolean {
	return isStoredStatusOlder(rollout) && now - rollout.stageSince >= lostStatusDelayMs;
}

/** Whether the store had an older status than the known one, or none, when it was last read. */
export function isStoredStatusOlder({status, storedStatus, number}: KnownRollout): boolean {
	return status !== undefined && (storedStatus?.order === number ? storedStatus.write : 0) < status.write;
}
