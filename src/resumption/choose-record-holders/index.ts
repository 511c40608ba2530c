/** Chooses the instances that hold the record of a stream. */

import type {Member} from '../../membership/member/index.js';
import {rankLiveMembers} from '../../membership/rank-live-members/index.js';
import type {StreamKey} from '../stream-key/index.js';

/** Minimum number of instances that hold records, so that they outlive two of them. */
const minimumHolders = 3;
/** One more instance holds records for this many in the fleet, so that the records of each stay few. */
const instancesPerHolder = 16;
/** Copies of each record, so that it outlives the instance that holds one. */
const copies = 2;
const shardDigits = 8;
const hexadecimal = 16;

/** Lists the instances that hold records. All instances with the same view choose the same ones. */
export function listRecordHolders(live: readonly Member[]): Member[] {
	const candidates = rankLiveMembers('stream records', live);
	const count = Math.max(minimumHolders, Math.ceil(candidates.length / instancesPerHolder));
	return candidates.slice(0, count);
}

/** Chooses those of `holders` that hold the record of one stream. */
export function chooseRecordHolders(key: StreamKey, holders: readonly Member[]): Member[] {
	const first = Number.parseInt(key.slice(0, shardDigits), hexadecimal);
	return Array.from({length: Math.min(copies, holders.length)}, (_, copy) => holders[(first + copy) % holders.length]!);
}
