/** Chooses the instances that watch the object API; all others receive the configuration from peers. */

import type {InstanceId} from '../../identity/ids/index.js';
import type {Member} from '../../membership/member/index.js';
import {compareText} from '../../names/join-specifications/index.js';

/** With two, a data centre that loses one watcher does not depend on other data centres. */
const watchersPerDataCentre = 2;

/** Chooses the first live instances of each data centre in order of id. Leaving instances are chosen only if there are too few others. */
export function chooseWatchers(members: readonly Member[]): ReadonlySet<InstanceId> {
	const chosen = new Set<InstanceId>();
	const counts = new Map<string, number>();
	const sortedMembers = members.toSorted((a, b) => Number(a.state === 'leaving') - Number(b.state === 'leaving') || compareText(a.id, b.id));
	for (const member of sortedMembers) {
		const count = counts.get(member.dataCentre) ?? 0;
		if (count < watchersPerDataCentre) {
			counts.set(member.dataCentre, count + 1);
			chosen.add(member.id);
		}
	}

	return chosen;
}
