/** What this instance knows of the other members. */

import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {
	maximumIntroduction, maximumSample, shortenEntry, wholeEntryInterval, type BriefEntry, type HeartbeatEntry,
} from '../heartbeat/index.js';
import type {Member} from '../member/index.js';

/** Age of the last counter advance beyond which a member no longer counts as live, in milliseconds. */
export const liveTimeoutMs = 5000;
/** Time for which a member that is not live stays known, in milliseconds. It keeps old incarnations from returning. */
const rememberMs = 600_000;
/** Members kept at most; the ones longest silent go first. */
const maximumMembers = 2000;
/** Time during which a change is put into samples first, in milliseconds. */
const newsMs = 5000;

type MemberRecord = {member: Member; counter: number; advancedAt: number; changedAt: number};

/** Members by id with their heartbeat counters. */
export class MemberTable {
	private readonly records = new Map<InstanceId, MemberRecord>();

	constructor(
		private readonly self: InstanceId,
		private readonly random: RandomSource,
		/** Age of the last counter advance beyond which a member no longer counts as live, in milliseconds, by the number of known members. */
		private readonly calculateTimeout: (members: number) => number = () => liveTimeoutMs,
	) {}

	/** Takes over `entry` if it is newer than what is known. Returns whether it was. */
	merge(entry: HeartbeatEntry, now: MonotonicMs): boolean {
		if (entry.id === this.self) {
			return false;
		}

		const {counter, ageMs, ...member} = entry;
		const known = this.records.get(entry.id);
		if (known !== undefined && !isNewer(entry, known)) {
			return false;
		}

		const isChanged = known?.member.state !== member.state || known.member.incarnation !== member.incarnation;
		const advancedAt = now - ageMs;
		this.records.set(entry.id, {
			member, counter,
			advancedAt: known === undefined ? advancedAt : Math.max(known.advancedAt, advancedAt),
			changedAt: isChanged ? now : known.changedAt,
		});
		return true;
	}

	find(id: InstanceId): Member | undefined {
		return this.records.get(id)?.member;
	}

	/** Counts the members that are remembered, live or not. */
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

	/** Picks live members for a heartbeat to `receiver`, recent changes first; more of them for a new member. */
	pickSample(receiver: InstanceId | undefined, now: MonotonicMs): Array<HeartbeatEntry | BriefEntry> {
		const count = this.isNews(receiver, now) ? maximumIntroduction : maximumSample;
		const records = this.listLiveRecords(now).filter(record => record.member.id !== receiver);
		const news = records.filter(record => now - record.changedAt < newsMs);
		const rest = records.filter(record => now - record.changedAt >= newsMs);
		const picked = this.random.pickSome(news, count);
		picked.push(...this.random.pickSome(rest, count - picked.length));
		const isReceiverNew = this.isNews(receiver, now);
		return picked.map(record => this.formatEntry(record, isReceiverNew || news.includes(record), now));
	}

	/** Completes a brief entry with what is known of the same life; nothing when that is unknown. */
	completeEntry(entry: BriefEntry): HeartbeatEntry | undefined {
		const member = this.records.get(entry.id)?.member;
		const {life, ...changes} = entry;
		return member?.incarnation.endsWith(life) === true ? {...member, ...changes} : undefined;
	}

	/** Forgets members that have been silent for long. */
	prune(now: MonotonicMs): void {
		const bySilence = [...this.records.values()].toSorted((a, b) => b.advancedAt - a.advancedAt);
		for (const [index, record] of bySilence.entries()) {
			if (index >= maximumMembers || now - record.advancedAt > rememberMs) {
				this.records.delete(record.member.id);
			}
		}
	}

	dump(now: MonotonicMs): unknown {
		return [...this.records.values()].map(record => ({
			...record.member, counter: record.counter, ageMs: Math.round(now - record.advancedAt), isLive: this.isLive(record, now),
		}));
	}

	/** Whether a member has just begun its life or changed its state. */
	private isNews(id: InstanceId | undefined, now: MonotonicMs): boolean {
		const record = id === undefined ? undefined : this.records.get(id);
		return record !== undefined && now - record.changedAt < newsMs;
	}

	/** Changes, answers to new members and one entry in eight are sent whole, so that receivers that missed a change learn it within seconds. */
	private formatEntry({member, counter, advancedAt}: MemberRecord, isNews: boolean, now: MonotonicMs): HeartbeatEntry | BriefEntry {
		const entry = {...member, counter, ageMs: Math.max(0, Math.round(now - advancedAt))};
		return isNews || this.random.pickIndex(wholeEntryInterval) === 0 ? entry : shortenEntry(entry);
	}

	private listLiveRecords(now: MonotonicMs): MemberRecord[] {
		return [...this.records.values()].filter(record => this.isLive(record, now));
	}

	private isLive(record: MemberRecord, now: MonotonicMs): boolean {
		return now - record.advancedAt <= this.calculateTimeout(this.records.size);
	}
}

function isNewer(entry: HeartbeatEntry, known: MemberRecord): boolean {
	return entry.incarnation > known.member.incarnation
		|| (entry.incarnation === known.member.incarnation && entry.counter > known.counter);
}
