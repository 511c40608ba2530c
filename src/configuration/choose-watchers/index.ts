/** Decides which instances watch the object API; all others follow their peers. */

import type {InstanceId} from '../../identity/ids/index.js';
import type {Member} from '../../membership/member/index.js';
import {compareText} from '../../names/join-specifications/index.js';

/** Two, so that the loss of one does not leave a data centre to its neighbours. */
const watchersPerDataCentre = 2;

/** Chooses the first live instances of each data centre in order of ids; leaving ones only where there is no other. */
export function chooseWatchers(members: readonly Member[]): ReadonlySet<InstanceId> {
	const chosen = new Set<InstanceId>();
	const counts = new Map<string, number>();
	const inOrder = members.toSorted((a, b) => Number(a.state === 'leaving') - Number(b.state === 'leaving') || compareText(a.id, b.id));
	for (const member of inOrder) {
		const count = counts.get(member.dataCentre) ?? 0;
		if (count < watchersPerDataCentre) {
			counts.set(member.dataCentre, count + 1);
			chosen.add(member.id);
		}
	}

	return chosen;
}
