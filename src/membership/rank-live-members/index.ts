/** Ranks the instances that may do something for the whole fleet. */

import {rankByHash} from '../../random/rank-by-hash/index.js';
import type {Member} from '../member/index.js';

/** Ranks the members that are not leaving for a task. All instances with the same view get the same ranking. */
export function rankLiveMembers(task: string, members: readonly Member[]): Member[] {
	return rankByHash(task, members.filter(({state}) => state === 'live'), ({id}) => id);
}
