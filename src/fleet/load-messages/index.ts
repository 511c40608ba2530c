/** Messages of the load exchange. */

import type {WaitingEntry} from '../../admission/shared-backlog/index.js';
import type {MemberEntry} from '../../membership/heartbeat/index.js';
import type {MemberRow} from '../../membership/member-row/index.js';
import type {TargetId} from '../../identity/ids/index.js';
import type {TargetLoad} from '../fleet-target/index.js';
import type {PrefixUse} from '../prefix-directory/index.js';

/** Message type of the reports of one instance. */
export const loadMessageType = 'loads';
/** Message type of the sums that an aggregator sends. */
export const sumsMessageType = 'loadSums';

/** Load of one target: calls in flight, prompt tokens still to compute and engine memory taken, in tokens. */
export type LoadEntry = readonly [id: TargetId, calls: number, prefillTokens: number, memoryTokens: number];

/** What a target was seen to do since the last report: work in prompt tokens, and the time that it took, in milliseconds. */
export type PaceEntry = readonly [id: TargetId, workTokens: number, ms: number];

/** Report of one instance on the work that it has sent to targets. */
export type LoadMessage = {
	readonly sender: MemberEntry;
	/** Time after receipt for which the loads count, in milliseconds. */
	readonly validMs: number;
	readonly loads: readonly LoadEntry[];
	readonly prefixes: readonly PrefixUse[];
	/** Calls in the admission queues of the sender; absent if none wait, and from instances of earlier releases. */
	readonly waiting?: readonly WaitingEntry[] | undefined;
	/** Only in a large fleet; absent in reports of the previous release. */
	readonly paces?: readonly PaceEntry[];
};

/** Sums of an aggregator. */
export type SumsMessage = {
	readonly sender: MemberEntry;
	/** `dataCentre`: the work reported to the sender, for other aggregators; `fleet`: all work that the sender knows of, for its reporters. */
	readonly scope: 'dataCentre' | 'fleet';
	/** Time after receipt for which the loads count, in milliseconds. */
	readonly validMs: number;
	readonly loads: readonly LoadEntry[];
	readonly prefixes: readonly PrefixUse[];
	/** Calls in the admission queues that the sums cover; absent if none wait, and from instances of earlier releases. */
	readonly waiting?: readonly WaitingEntry[] | undefined;
	/** Paces that the receiver has not been told; absent in sums of the previous release. */
	readonly paces?: readonly PaceEntry[];
	/** Live members by turns, and recently changed ones in full. */
	readonly members: readonly MemberRow[];
	readonly changedMembers: readonly MemberEntry[];
};

/** Limit of the waiting calls in one message, by services and priorities. */
const maximumWaitingEntries = 24;

/** Formats waiting calls, the most urgent ones first; undefined if none wait. */
export function formatWaiting(entries: readonly WaitingEntry[]): readonly WaitingEntry[] | undefined {
	return entries.length === 0 ? undefined : entries.slice(0, maximumWaitingEntries);
}

/** Formats the load of a target. */
export function formatLoad(id: TargetId, {calls, prefillTokens, memoryTokens}: TargetLoad): LoadEntry {
	return [id, calls, prefillTokens, memoryTokens];
}

/** Parses the load in an entry. */
export function parseLoad([, calls, prefillTokens, memoryTokens]: LoadEntry): TargetLoad {
	return {calls, prefillTokens, memoryTokens};
}
