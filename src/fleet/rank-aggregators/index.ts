/** Ranks the instances of a data centre for the role of load aggregator. */

import type {DataCentreId} from '../../identity/ids/index.js';
import type {Member} from '../../membership/member/index.js';
import {rankByHash} from '../../random/rank-by-hash/index.js';

/** Fleet size, without this instance, up to which each instance reports to all others. */
export const directExchangePeerLimit = 12;

/** Whether a fleet with `peerCount` other instances needs aggregators: direct reports grow with the square of its size. */
export function hasAggregators(peerCount: number): boolean {
	return peerCount > directExchangePeerLimit;
}

/**
 * Ranks the live members of `dataCentre`, those with the most capacity first, because an aggregator serves its
 * whole data centre. Members with the same capacity are ranked by rendezvous hashing, so that all instances agree.
 */
export function rankAggregators(live: readonly Member[], dataCentre: DataCentreId): Member[] {
	const candidates = live.filter(member => member.dataCentre === dataCentre && member.state === 'live');
	return rankByHash(`aggregator ${dataCentre}`, candidates, member => member.id)
		.toSorted((a, b) => (b.capacity ?? 0) - (a.capacity ?? 0));
}
