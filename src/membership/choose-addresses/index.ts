/** Choice of the instances returned to a caller's address query. */

import type {RandomSource} from '../../random/random-source/index.js';
import type {Member} from '../member/index.js';

/** Maximum number of instances in a response. */
export const maximumAddresses = 16;

/** Input of `chooseAddresses`. */
export type AddressQuery = {
	/** Live members, including this instance. */
	readonly live: readonly Member[];
	readonly self: Member;
	/** The caller's data centre. Defaults to that of this instance. */
	readonly dataCentre: string | undefined;
	/** Whether a member should get no new callers, as long as there are others. */
	readonly isAvoided?: (member: Member) => boolean;
};

/**
 * Chooses the instances that a caller may use, nearest data centre first. Instances at the same distance are
 * shuffled to spread callers. Leaving instances and instances without a configuration are excluded, and so are avoided ones
 * unless all are.
 */
export function chooseAddresses(query: AddressQuery, random: RandomSource): Member[] {
	const dataCentre = query.dataCentre ?? query.self.dataCentre;
	const configuredMembers = query.live.filter(member => member.state === 'live' && member.revision >= 0);
	const preferredMembers = configuredMembers.filter(member => query.isAvoided?.(member) !== true);
	const usableMembers = preferredMembers.length > 0 ? preferredMembers : configuredMembers;
	const region = usableMembers.find(member => member.dataCentre === dataCentre)?.region ?? query.self.region;
	const measureDistance = (member: Member) => member.dataCentre === dataCentre ? 0 : (member.region === region ? 1 : 2);
	return random.pickSome(usableMembers, usableMembers.length)
		.toSorted((a, b) => measureDistance(a) - measureDistance(b))
		.slice(0, maximumAddresses);
}
