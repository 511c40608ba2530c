/** Chooses the peer from which a newer configuration is fetched. */

import type {InstanceId, Revision} from '../../identity/ids/index.js';
import type {RandomSource} from '../../random/random-source/index.js';

/** Chooses at random among the peers with the highest revision, if it is above `ownRevision`. The random choice spreads the load over these peers. */
export function chooseNewerPeer(revisions: ReadonlyMap<InstanceId, Revision>, ownRevision: Revision, random: RandomSource): InstanceId | undefined {
	const highest = Math.max(ownRevision, ...revisions.values());
	const candidates = [...revisions].filter(([, revision]) => revision === highest).map(([id]) => id);
	return highest > ownRevision ? random.pickSome(candidates, 1)[0] : undefined;
}
