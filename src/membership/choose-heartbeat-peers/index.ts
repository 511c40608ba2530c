/** Choice of the peers that get a heartbeat. */

import type {RandomSource} from '../../random/random-source/index.js';
import type {Member} from '../member/index.js';

/** Peers that get a heartbeat in one round at most. */
export const maximumHeartbeatPeers = 4;

/** What the choice rests on. */
export type HeartbeatPeerQuery = {
	readonly self: Member;
	/** Live members, with or without `self`. */
	readonly live: readonly Member[];
	/** Addresses that may lead to a member which is not live now. */
	readonly silentAddresses: readonly string[];
};

/**
 * Chooses peer addresses: the ring neighbours in the own data centre, random members elsewhere, and
 * one address that does not answer at present, so that a member is found again after a partition.
 */
export function chooseHeartbeatPeers(query: HeartbeatPeerQuery, random: RandomSource): string[] {
	const others = query.live.filter(member => member.id !== query.self.id);
	const near = others.filter(member => member.dataCentre === query.self.dataCentre);
	const neighbours = findRingNeighbours(query.self, near);
	const neighbourIds = new Set(neighbours.map(member => member.id));
	const elsewhere = others.filter(member => member.dataCentre !== query.self.dataCentre);
	const rest = others.filter(member => !neighbourIds.has(member.id));
	const chosen = [...neighbours, ...random.pickSome(elsewhere.length === 0 ? rest : elsewhere, neighbours.length === 2 ? 1 : 2)];
	const addresses = chosen.map(member => member.peerAddress);
	addresses.push(...random.pickSome(query.silentAddresses, addresses.length === 0 ? maximumHeartbeatPeers : 1));
	return addresses.slice(0, maximumHeartbeatPeers);
}

/** Finds the next and the previous member in the order of ids, which closes to a ring. */
function findRingNeighbours(self: Member, members: readonly Member[]): Member[] {
	const sorted = members.toSorted((a, b) => a.id < b.id ? -1 : 1);
	if (sorted.length < 3) {
		return sorted;
	}

	const index = sorted.findIndex(member => member.id > self.id);
	const next = sorted[index === -1 ? 0 : index]!;
	const previous = sorted.at((index === -1 ? 0 : index) - 1)!;
	return [next, previous];
}
