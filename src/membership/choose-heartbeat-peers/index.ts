/** Choice of the peers that receive a heartbeat. */

import type {RandomSource} from '../../random/random-source/index.js';
import type {Member} from '../member/index.js';

/** Maximum number of peers that receive a heartbeat in one round. */
export const maximumHeartbeatPeers = 4;

/** Input of `chooseHeartbeatPeers`. */
export type HeartbeatPeerQuery = {
	readonly self: Member;
	/** Live members, with or without `self`. */
	readonly live: readonly Member[];
	/** Addresses that may belong to a member that is not live at present. */
	readonly silentAddresses: readonly string[];
};

/**
 * Chooses the ring neighbours in the same data centre, random members in other data centres, and one
 * silent address, so that a member is rediscovered after a network partition.
 */
export function chooseHeartbeatPeers(query: HeartbeatPeerQuery, random: RandomSource): string[] {
	const otherMembers = query.live.filter(member => member.id !== query.self.id);
	const localMembers = otherMembers.filter(member => member.dataCentre === query.self.dataCentre);
	const ringNeighbours = findRingNeighbours(query.self, localMembers);
	const neighbourIds = new Set(ringNeighbours.map(member => member.id));
	const remoteMembers = otherMembers.filter(member => member.dataCentre !== query.self.dataCentre);
	const nonNeighbours = otherMembers.filter(member => !neighbourIds.has(member.id));
	const chosen = [...ringNeighbours, ...random.pickSome(remoteMembers.length === 0 ? nonNeighbours : remoteMembers, ringNeighbours.length === 2 ? 1 : 2)];
	const addresses = chosen.map(member => member.peerAddress);
	addresses.push(...random.pickSome(query.silentAddresses, addresses.length === 0 ? maximumHeartbeatPeers : 1));
	return addresses.slice(0, maximumHeartbeatPeers);
}

/** Finds the successor and the predecessor of `self` on the ring of members sorted by id. */
function findRingNeighbours(self: Member, members: readonly Member[]): Member[] {
	const sortedMembers = members.toSorted((a, b) => a.id < b.id ? -1 : 1);
	if (sortedMembers.length < 3) {
		return sortedMembers;
	}

	const index = sortedMembers.findIndex(member => member.id > self.id);
	const next = sortedMembers[index === -1 ? 0 : index]!;
	const previous = sortedMembers.at((index === -1 ? 0 : index) - 1)!;
	return [next, previous];
}
