/** Table of the other members that this instance knows. */

import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {
	maximumNewMemberSampleEntries, maximumSampleEntries, compactEntry, fullEntryInterval, type CompactEntry, type HeartbeatEntry,
} from '../heartbeat/index.js';
import type {Member} from '../member/index.js';

/** A member whose heartbeat counter has not advanced for longer than this is not live, in milliseconds. */
export const liveTimeoutMs = 5000;
/** Time for which a silent member is remembered, in milliseconds. The record keeps old incarnations from being added again. */
const silentRetentionMs = 600_000;
/** Maximum number of members in the table. Those that have been silent longest are evicted first. */
const maximumMembers = 2000;
/** Time for which a changed member takes precedence in samples, in milliseconds. */
const recentChangeMs = 5000;

type MemberRecord = {member: Member; counter: number; advancedAt: number; changedAt: number};

/** Members with their heartbeat counters, by id. */
export class MemberTable {
	private readonly records = new Map<InstanceId, MemberRecord>();

	constructor(
		private readonly selfId: InstanceId,
		private readonly random: RandomSource,
		/** Calculates the liveness timeout in milliseconds from the number of known members. Defaults to `liveTimeoutMs`. */
		private readonly calculateLivenessTimeoutMs: (knownMembers: number) => number = () => liveTimeoutMs,
	) {}

	/** Applies `entry` if it is newer than the record of the same member. Returns whether it was applied. */
	merge(entry: HeartbeatEntry, now: MonotonicMs): boolean {
		if (entry.id === this.selfId) {
			return false;
		}

		const {counter, ageMs, ...member} = entry;
		const existing = this.records.get(entry.id);
		if (existing !== undefined && !isNewer(entry, existing)) {
			return false;
		}

		const isChanged = existing?.member.state !== member.state || existing.member.incarnation !== member.incarnation;
		const advancedAt = now - ageMs;
		this.records.set(entry.id, {
			member, counter,
			advancedAt: existing === undefined ? advancedAt : Math.max(existing.advancedAt, advancedAt),
			changedAt: isChanged ? now : existing.changedAt,
		});
		return true;
	}

	find(id: InstanceId): Member | undefined {
		return this.records.get(id)?.member;
	}

	/** Counts the members in the table, live or not. */
	count(): number {
		return this.records.size;
	}

	listLive(now: MonotonicMs): Member[] {
		return this.listLiveRecords(now).map(record => record.member);
	}

	/** Lists the members that are known but not live. */
	listSilent(now: MonotonicMs): Member[] {
		return [...this.records.values()].filter(record => !this.isLive(record, now)).map(record => record.member);
	}

	/** Picks live members for a heartbeat to `receiver`, recently changed ones first. A receiver that has recently changed itself gets a larger sample. */
	pickSample(receiver: InstanceId | undefined, now: MonotonicMs): Array<HeartbeatEntry | CompactEntry> {
		const maximumCount = this.hasRecentChange(receiver, now) ? maximumNewMemberSampleEntries : maximumSampleEntries;
		const records = this.listLiveRecords(now).filter(record => record.member.id !== receiver);
		const changed = records.filter(record => now - record.changedAt < recentChangeMs);
		const unchanged = records.filter(record => now - record.changedAt >= recentChangeMs);
		const picked = this.random.pickSome(changed, maximumCount);
		picked.push(...this.random.pickSome(unchanged, maximumCount - picked.length));
		const isReceiverChanged = this.hasRecentChange(receiver, now);
		return picked.map(record => this.formatEntry(record, isReceiverChanged || changed.includes(record), now));
	}

	/** Lists one of `turns` parts of the live members that `isIncluded` accepts; consecutive turns cover all of them. */
	listTurn(turn: number, turns: number, now: MonotonicMs, isIncluded: (member: Member) => boolean): CompactEntry[] {
		return this.listLiveRecords(now)
			.filter((record, index) => index % turns === turn % turns && isIncluded(record.member))
			.map(record => compactEntry(formatRecord(record, now)));
	}

	/** Picks full entries of members that have recently started or changed their state. */
	pickChanged(limit: number, now: MonotonicMs, isIncluded: (member: Member) => boolean): HeartbeatEntry[] {
		const changed = this.listLiveRecords(now).filter(record => now - record.changedAt < recentChangeMs && isIncluded(record.member));
		return this.random.pickSome(changed, limit).map(record => formatRecord(record, now));
	}

	/** Expands a compact entry with the known fields of the same incarnation. Returns undefined if that incarnation is unknown. */
	expandEntry(entry: CompactEntry): HeartbeatEntry | undefined {
		const member = this.records.get(entry.id)?.member;
		const {life, ...changes} = entry;
		return member?.incarnation.endsWith(life) === true ? {...member, ...changes} : undefined;
	}

	/** Removes members that have been silent for too long, and the longest silent ones above the size limit. */
	prune(now: MonotonicMs): void {
		const recordsByLastAdvance = [...this.records.values()].toSorted((a, b) => b.advancedAt - a.advancedAt);
		for (const [index, record] of recordsByLastAdvance.entries()) {
			if (index >= maximumMembers || now - record.advancedAt > silentRetentionMs) {
				this.records.delete(record.member.id);
			}
		}
	}

	dump(now: MonotonicMs): unknown {
		return [...this.records.values()].map(record => ({
			...record.member, counter: record.counter, ageMs: Math.round(now - record.advancedAt), isLive: this.isLive(record, now),
		}));
	}

	/** Whether a member has recently started or changed its state. */
	private hasRecentChange(id: InstanceId | undefined, now: MonotonicMs): boolean {
		const record = id === undefined ? undefined : this.records.get(id);
		return record !== undefined && now - record.changedAt < recentChangeMs;
	}

	/**
	 * Formats a full entry for a changed member or receiver, and at random for one in eight others, so that
	 * receivers that missed a change learn it within seconds.
	 */
	private formatEntry(record: MemberRecord, shouldBeFull: boolean, now: MonotonicMs): HeartbeatEntry | CompactEntry {
		const entry = formatRecord(record, now);
		return shouldBeFull || this.random.pickIndex(fullEntryInterval) === 0 ? entry : compactEntry(entry);
	}

	private listLiveRecords(now: MonotonicMs): MemberRecord[] {
		const timeoutMs = this.calculateLivenessTimeoutMs(this.records.size);
		return [...this.records.values()].filter(record => now - record.advancedAt <= timeoutMs);
	}

	private isLive(record: MemberRecord, now: MonotonicMs): boolean {
		return now - record.advancedAt <= this.calculateLivenessTimeoutMs(this.records.size);
	}
}

function formatRecord({member, counter, advancedAt}: MemberRecord, now: MonotonicMs): HeartbeatEntry {
	return {...member, counter, ageMs: Math.max(0, Math.round(now - advancedAt))};
}

function isNewer(entry: HeartbeatEntry, existing: MemberRecord): boolean {
	return entry.incarnation > existing.member.incarnation
		|| (entry.incarnation === existing.member.incarnation && entry.counter > existing.counter);
}
