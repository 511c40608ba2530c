/** The answer to a caller's address query. */

import type {RandomSource} from '../../random/random-source/index.js';
import type {Member} from '../member/index.js';

/** Instances that an answer lists at most. */
export const maximumAddresses = 16;

/** What the choice rests on. */
export type AddressQuery = {
	/** Live members, the answering instance included. */
	readonly live: readonly Member[];
	readonly self: Member;
	/** The caller's data centre; the answering instance's own when the caller names none. */
	readonly dataCentre: string | undefined;
};

/**
 * Chooses the instances that a caller may use, the nearest data centre first, in random order
 * within each distance so that callers spread. Leaving instances and those without a configuration are left out.
 */
export function chooseAddresses(query: AddressQuery, random: RandomSource): Member[] {
	const dataCentre = query.dataCentre ?? query.self.dataCentre;
	const usable = query.live.filter(member => member.state === 'live' && member.revision >= 0);
	const region = usable.find(member => member.dataCentre === dataCentre)?.region ?? query.self.region;
	const measureDistance = (member: Member) => member.dataCentre === dataCentre ? 0 : (member.region === region ? 1 : 2);
	return random.pickSome(usable, usable.length)
		.toSorted((a, b) => measureDistance(a) - measureDistance(b))
		.slice(0, maximumAddresses);
}
