/** Chooses the peers to which a new revision is announced. */

import type {InstanceId, Revision} from '../../identity/ids/index.js';
import type {Member} from '../../membership/member/index.js';
import {compareText} from '../../names/join-specifications/index.js';
import type {RandomSource} from '../../random/random-source/index.js';

/** Together with the two ring neighbours this makes a fan-out of four, which reaches 350 instances in about five steps. */
const randomPeerCount = 2;

/** State on which the choice depends. */
export type AnnouncementView = {
	readonly self: Member;
	readonly members: readonly Member[];
	/** Revision to announce; peers that already have it are skipped. */
	readonly revision: Revision;
	/** Highest revision that the member is known to have. */
	readonly readRevision: (member: Member) => Revision;
};

/** Chooses both neighbours in this data centre's ring of instances, which is sorted by id, and a few random peers of all data centres. */
export function chooseAnnouncementPeers({self, members, revision, readRevision}: AnnouncementView, random: RandomSource): InstanceId[] {
	const ring = members.filter(member => member.dataCentre === self.dataCentre).map(member => member.id).toSorted(compareText);
	const index = ring.indexOf(self.id);
	const neighbours = new Set([ring[(index + 1) % ring.length], ring.at(index - 1)]);
	const behind = members.filter(member => member.id !== self.id && readRevision(member) < revision).map(member => member.id);
	const others = behind.filter(id => !neighbours.has(id));
	return [...behind.filter(id => neighbours.has(id)), ...random.pickSome(others, randomPeerCount)];
}
