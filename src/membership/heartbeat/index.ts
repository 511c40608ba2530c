/** Format of the heartbeats between instances. */

import {z} from 'zod';
import type {Member} from '../member/index.js';

/** JSON-RPC method of heartbeats. */
export const heartbeatMethod = 'membership.heartbeat';
/** Maximum number of sampled members in a heartbeat or its response, in addition to the sender. */
export const maximumSampleEntries = 8;
/** Maximum number of sampled members in a response to a member that has just started and knows no others yet. */
export const maximumNewMemberSampleEntries = 64;
/** One in this many entries is sent in full, for receivers that missed the member's first full entry. */
export const fullEntryInterval = 8;

/** Length of the random suffix of an incarnation, in characters. */
const incarnationSuffixLength = 8;
const textSchema = z.string().min(1).max(100);

const fullEntrySchema = z.object({
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
	capacity: z.number().positive().optional(),
	settingsRevision: textSchema.optional(),
});

/** Only the fields that change within an incarnation, for receivers that know the others. */
const compactEntrySchema = z.strictObject({
	id: textSchema,
	/** Random suffix of the incarnation. */
	life: textSchema,
	state: z.enum(['live', 'leaving']),
	revision: z.number().int(),
	counter: z.number().int().nonnegative(),
	ageMs: z.number().nonnegative(),
});

const memberEntrySchema = z.union([compactEntrySchema, fullEntrySchema]);

/** A heartbeat or its response: the sender and a sample of the members that it considers live. */
export const heartbeatSchema = z.object({
	sender: fullEntrySchema,
	sample: z.array(memberEntrySchema).max(maximumNewMemberSampleEntries),
});

/** State of a member with its heartbeat counter and the time since the counter last advanced. */
export type HeartbeatEntry = Member & {readonly counter: number; readonly ageMs: number};

/** The changing fields of an entry, about a third of its size. A receiver that does not know the incarnation ignores it. */
export type CompactEntry = Pick<HeartbeatEntry, 'id' | 'state' | 'revision' | 'counter' | 'ageMs'> & {readonly life: string};

/** A full or compact entry. */
export type MemberEntry = HeartbeatEntry | CompactEntry;

/** A heartbeat or its response. */
export type Heartbeat = {readonly sender: HeartbeatEntry; readonly sample: readonly MemberEntry[]};

/** Parses a heartbeat received from a peer. Throws if it does not match the schema. */
export function parseHeartbeat(value: unknown): Heartbeat {
	return heartbeatSchema.parse(value) as unknown as Heartbeat;
}

/** Parses a single entry received from a peer. Throws if it does not match the schema. */
export function parseMemberEntry(value: unknown): MemberEntry {
	return memberEntrySchema.parse(value) as unknown as MemberEntry;
}

/** Reduces an entry to its compact form, for receivers that know the member's incarnation. */
export function compactEntry({id, state, revision, counter, ageMs, incarnation}: HeartbeatEntry): CompactEntry {
	return {
		id, state, revision, counter, ageMs, life: incarnation.slice(-incarnationSuffixLength),
	};
}
