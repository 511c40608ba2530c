/** Content of a heartbeat between two instances. */

import {z} from 'zod';
import type {Member} from '../member/index.js';

/** JSON-RPC method of heartbeats. */
export const heartbeatMethod = 'membership.heartbeat';
/** Members besides the sender that a heartbeat or its answer carries at most. */
export const maximumSample = 8;
/** The same for an answer to a member that has just begun its life, and knows nobody yet. */
export const maximumIntroduction = 64;
/** One entry out of this many is sent whole, for receivers that missed the beginning of the member's life. */
export const wholeEntryInterval = 8;

/** Length of the random end of an incarnation. */
const lifeLength = 8;
const textSchema = z.string().min(1).max(100);

const entrySchema = z.object({
	id: textSchema,
	incarnation: textSchema,
	fleet: textSchema,
	region: textSchema,
	dataCentre: textSchema,
	peerAddress: textSchema,
	callerAddress: textSchema,
	state: z.enum(['live', 'leaving']),
	revision: z.number().int(),
	counter: z.number().int().nonnegative(),
	ageMs: z.number().nonnegative(),
});

/** What changes in a member's life, for receivers that know the rest. */
const briefSchema = z.strictObject({
	id: textSchema,
	/** Random end of the incarnation. */
	life: textSchema,
	state: z.enum(['live', 'leaving']),
	revision: z.number().int(),
	counter: z.number().int().nonnegative(),
	ageMs: z.number().nonnegative(),
});

const memberEntrySchema = z.union([briefSchema, entrySchema]);

/** A heartbeat, and also its answer: the sender first, then a sample of the members that it knows as live. */
export const heartbeatSchema = z.object({
	sender: entrySchema,
	sample: z.array(memberEntrySchema).max(maximumIntroduction),
});

/** State of a member with its heartbeat counter, and the time since the counter was seen to advance. */
export type HeartbeatEntry = Member & {readonly counter: number; readonly ageMs: number};

/** The part of an entry that changes, about a third of its bytes. A receiver that does not know the life drops it. */
export type BriefEntry = Pick<HeartbeatEntry, 'id' | 'state' | 'revision' | 'counter' | 'ageMs'> & {readonly life: string};

/** An entry, whole or brief. */
export type MemberEntry = HeartbeatEntry | BriefEntry;

/** One heartbeat. */
export type Heartbeat = {readonly sender: HeartbeatEntry; readonly sample: readonly MemberEntry[]};

/** Checks a heartbeat from the wire; throws when it has another form. */
export function parseHeartbeat(value: unknown): Heartbeat {
	return heartbeatSchema.parse(value) as unknown as Heartbeat;
}

/** Checks a single entry from the wire; throws when it has another form. */
export function parseMemberEntry(value: unknown): MemberEntry {
	return memberEntrySchema.parse(value) as unknown as MemberEntry;
}

/** Shortens an entry for receivers that know the member's life. */
export function shortenEntry({id, state, revision, counter, ageMs, incarnation}: HeartbeatEntry): BriefEntry {
	return {
		id, state, revision, counter, ageMs, life: incarnation.slice(-lifeLength),
	};
}
