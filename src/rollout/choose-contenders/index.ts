/** Chooses the instances that contend for a lease. */

import type {Member} from '../../membership/member/index.js';

/** Maximum number of contenders for the lease of weights; each reads the lease from the object API several times a second. */
const maximumContenders = 2;

/** Chooses the most recently started live members, because a rolling restart does not stop them again soon. */
export function chooseContenders(live: readonly Member[], count = maximumContenders): Member[] {
	return live
		.filter(member => member.state === 'live')
		.toSorted((a, b) => a.incarnation > b.incarnation ? -1 : 1)
		.slice(0, count);
}
