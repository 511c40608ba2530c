/** Chooses the peer from which to fetch a newer configuration. */

import type {InstanceId, Revision} from '../../identity/ids/index.js';
import type {RandomSource} from '../../random/random-source/index.js';

/** Chooses at random among the peers with the highest revision above `own`, so that one peer does not serve all others. */
export function chooseAhead(revisions: ReadonlyMap<InstanceId, Revision>, own: Revision, random: RandomSource): InstanceId | undefined {
	const highest = Math.max(own, ...revisions.values());
	const ahead = [...revisions].filter(([, revision]) => revision === highest).map(([id]) => id);
	return highest > own ? random.pickSome(ahead, 1)[0] : undefined;
}
