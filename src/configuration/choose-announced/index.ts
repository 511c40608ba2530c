/** Chooses the peers to which a new revision is announced. */

import type {InstanceId, Revision} from '../../identity/ids/index.js';
import type {Member} from '../../membership/member/index.js';
import {compareText} from '../../names/join-specifications/index.js';
import type {RandomSource} from '../../random/random-source/index.js';

/** Random peers besides the ring neighbours. Four announcements per instance reach 350 instances in about five steps. */
const randomPeers = 2;

/** What the choice depends on. */
export type AnnouncementView = {
	readonly self: Member;
	readonly members: readonly Member[];
	/** Revision being announced; peers that have it are left out. */
	readonly revision: Revision;
	readonly readRevision: (member: Member) => Revision;
};

/** Chooses the neighbours on the ring of the own data centre, and a few random peers. */
export function chooseAnnounced({self, members, revision, readRevision}: AnnouncementView, random: RandomSource): InstanceId[] {
	const ring = members.filter(member => member.dataCentre === self.dataCentre).map(member => member.id).toSorted(compareText);
	const index = ring.indexOf(self.id);
	const neighbours = new Set([ring[(index + 1) % ring.length], ring.at(index - 1)]);
	const behind = members.filter(member => member.id !== self.id && readRevision(member) < revision).map(member => member.id);
	const others = behind.filter(id => !neighbours.has(id));
	return [...behind.filter(id => neighbours.has(id)), ...random.pickSome(others, randomPeers)];
}
