/**
 * Sums up the load reports of a data centre and sends the sums on.
 *
 * Load pattern: in a fleet of hundreds of instances, reports from each to all others cost every instance more than
 * its calls do, and are seconds old when they arrive. With an aggregator in each data centre, an instance sends one
 * report and receives one message in each round, whatever the size of the fleet.
 *
 * No agreement on the aggregator is needed: whoever gets reports answers them with sums and exchanges sums with the
 * aggregators of the other data centres.
 */

import {
	fleetBacklogKey, subtractEntries, type SharedBacklog, type WaitingEntry,
} from '../../admission/shared-backlog/index.js';
import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {
	parseMemberEntry, type CompactEntry, type HeartbeatEntry, type MemberEntry,
} from '../../membership/heartbeat/index.js';
import {formatMemberRow, parseMemberRow} from '../../membership/member-row/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import {
	formatLoad, formatWaiting, parseLoad, sumsMessageType, type LoadEntry, type PaceEntry, type SumsMessage,
} from '../load-messages/index.js';
import type {TargetLoad} from '../fleet-target/index.js';
import type {PaceExchange} from '../pace-exchange/index.js';
import type {PrefixDirectory, PrefixUse} from '../prefix-directory/index.js';
import {rankAggregators} from '../rank-aggregators/index.js';
import type {TargetFleet} from '../target-fleet/index.js';

/** Time without a report after which a reporter gets no more sums, in milliseconds; several idle reports fit into it. */
const reporterTimeoutMs = 1800;
/** Time without sums after which another aggregator gets none in return, in milliseconds. */
const aggregatorTimeoutMs = 1500;
/** Time for which reported and summed loads count, in milliseconds; several rounds fit into it. */
export const sumValidityMs = 1000;
/** Mean age of the loads in sums when they arrive, in milliseconds: reports and sums wait for a round of 200 ms each. */
const sumsAgeMs = 300;
/** Rounds in which all live members are listed once to reporters, and those of the data centre to other aggregators. */
const membersCycleRounds = {fleet: 3, dataCentre: 1} as const;
/** Limits of the lists in one message. Messages above the size of a packet are fragmented, which is cheaper than sending several to each reporter. */
const maximumChangedMembers = 8;
const maximumPrefixUses = 128;
const maximumLoads = 160;
/** Key of the work that an aggregator has reported, in the loads of a target. */
const fleetLoadKey = 'fleet' as InstanceId;

/** Dependencies of the aggregator. */
export type LoadAggregatorOptions = {
	readonly clock: Clock;
	readonly fleet: TargetFleet;
	readonly prefixes: PrefixDirectory;
	readonly paces: PaceExchange;
	readonly channel: DatagramTransport;
	readonly membership: AggregatedMembership;
	readonly readSelf: () => Member;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	/** Returns the load that this instance last reported for a target. */
	readonly readReportedLoad: (target: LoadEntry[0]) => TargetLoad | undefined;
	readonly backlog: SharedBacklog;
	/** Returns the waiting calls that this instance last reported. */
	readonly readReportedWaiting: () => readonly WaitingEntry[];
	/** Called when sums for reporters arrive. */
	readonly onSums: (sender: InstanceId, now: MonotonicMs) => void;
};

/** The part of the membership that sums carry. */
export type AggregatedMembership = {
	describeSelf(): MemberEntry;
	applyEntry(entry: MemberEntry, now: MonotonicMs): void;
	listTurn(turn: number, turns: number, now: MonotonicMs, isIncluded: (member: Member) => boolean): CompactEntry[];
	pickChanged(limit: number, now: MonotonicMs, isIncluded: (member: Member) => boolean): HeartbeatEntry[];
};

/** Aggregates reports while other instances send them, and applies received sums. */
export class LoadAggregator {
	private readonly reportedAt = new Map<InstanceId, MonotonicMs>();
	private readonly aggregatorHeardAt = new Map<InstanceId, MonotonicMs>();
	/** Uses of prefixes since the last round: those of the own data centre, and those that other aggregators passed on. */
	private ownUses: PrefixUse[] = [];
	private remoteUses: PrefixUse[] = [];
	private round = 0;

	constructor(private readonly options: LoadAggregatorOptions) {
		options.channel.register(sumsMessageType, body => {
			this.receive(body as SumsMessage);
		});
	}

	/** Whether other instances report to this one. */
	hasReporters(): boolean {
		return this.reportedAt.size > 0;
	}

	/** Records a report of another instance, or of this one, whose loads have been recorded. */
	recordReport(sender: InstanceId, uses: readonly PrefixUse[], now: MonotonicMs): void {
		this.reportedAt.set(sender, now);
		this.recordUses(uses);
	}

	/** Records uses of prefixes in this data centre. */
	recordUses(uses: readonly PrefixUse[]): void {
		this.ownUses = [...this.ownUses, ...uses].slice(-maximumPrefixUses);
	}

	/** Keeps observations of speeds that were made in this data centre, for the next sums. */
	keepPaces(entries: readonly PaceEntry[] | undefined): void {
		this.options.paces.keep(entries, 'fleet');
		this.options.paces.keep(entries, 'dataCentre');
	}

	/** Sends the sums of a round to reporters and other aggregators. */
	sendSums(now: MonotonicMs): void {
		forgetOlder(this.reportedAt, now - reporterTimeoutMs);
		forgetOlder(this.aggregatorHeardAt, now - aggregatorTimeoutMs);
		const peers = this.options.listPeers();
		const aggregators = this.listOtherAggregators(peers);
		const reporters = peers.filter(peer => this.reportedAt.has(peer.id));
		const sender = this.options.membership.describeSelf();
		this.round += 1;
		this.send(reporters, () => this.buildFleetSums(sender, now));
		this.send(aggregators, () => this.buildDataCentreSums(sender, now));
		this.ownUses = [];
		this.remoteUses = [];
	}

	private buildFleetSums(sender: MemberEntry, now: MonotonicMs): SumsMessage {
		const loads = [...this.options.fleet.list()].map(target => formatLoad(target.description.id, target.readTotalLoad(now)));
		return {
			...this.buildMessage(sender, 'fleet', loads, [...this.ownUses, ...this.remoteUses], now),
			waiting: formatWaiting(this.options.backlog.sumAll(now)),
		};
	}

	private buildDataCentreSums(sender: MemberEntry, now: MonotonicMs): SumsMessage {
		const loads = [...this.options.fleet.list()].map(target => formatLoad(target.description.id, target.readLoadFrom(this.reportedAt, now)));
		return {
			...this.buildMessage(sender, 'dataCentre', loads, this.ownUses, now),
			waiting: formatWaiting(this.options.backlog.sum(this.reportedAt, now)),
		};
	}

	private buildMessage(sender: MemberEntry, scope: SumsMessage['scope'], loads: readonly LoadEntry[], uses: readonly PrefixUse[], now: MonotonicMs): SumsMessage {
		const {membership, readSelf} = this.options;
		const {dataCentre} = readSelf();
		const paces = this.options.paces.take(scope);
		const isIncluded = (member: Member) => scope === 'fleet' || member.dataCentre === dataCentre;
		return {
			sender, scope, validMs: sumValidityMs,
			loads: loads.filter(([, calls]) => calls > 0).toSorted((a, b) => b[3] - a[3]).slice(0, maximumLoads - paces.length),
			prefixes: uses.slice(-maximumPrefixUses),
			paces: paces.length > 0 ? paces : undefined,
			members: membership.listTurn(this.round, membersCycleRounds[scope], now, isIncluded).map(entry => formatMemberRow(entry)),
			changedMembers: membership.pickChanged(maximumChangedMembers, now, isIncluded),
		};
	}

	private send(receivers: readonly Member[], build: () => SumsMessage): void {
		if (receivers.length > 0) {
			this.options.channel.send(receivers.map(member => member.peerAddress), sumsMessageType, build());
		}
	}

	/** Lists the first-ranked aggregator of each data centre, this one included, and those that lately sent sums. */
	private listOtherAggregators(peers: readonly Member[]): Member[] {
		const self = this.options.readSelf();
		const members = [self, ...peers];
		const dataCentres = new Set(members.map(member => member.dataCentre));
		const chosen = new Set<Member>(peers.filter(peer => this.aggregatorHeardAt.has(peer.id)));
		for (const dataCentre of dataCentres) {
			const first = rankAggregators(members, dataCentre)[0];
			if (first !== undefined && first !== self) {
				chosen.add(first);
			}
		}

		return [...chosen];
	}

	private receive(message: SumsMessage): void {
		const {clock, membership, onSums, prefixes, paces} = this.options;
		const now = clock.readMonotonic();
		const sender = parseMemberEntry(message.sender);
		membership.applyEntry(sender, now);
		for (const entry of message.changedMembers) {
			membership.applyEntry(parseMemberEntry(entry), now);
		}

		for (const row of message.members) {
			membership.applyEntry(parseMemberRow(row), now);
		}

		for (const [prefix, target] of message.prefixes) {
			prefixes.recordUse(prefix, target, now);
		}

		paces.record(message.paces, now);
		if (message.scope === 'fleet') {
			onSums(sender.id, now);
			this.applyFleetSums(message, now);
		} else {
			this.aggregatorHeardAt.set(sender.id, now);
			paces.keep(message.paces, 'fleet');
			this.remoteUses = [...this.remoteUses, ...message.prefixes].slice(-maximumPrefixUses);
			this.applyLoads(sender.id, message, now, load => load);
			this.options.backlog.record(sender.id, message.waiting, now + message.validMs as MonotonicMs);
		}
	}

	/** Applies the work of the whole fleet. An aggregator ignores it: it has all reports, and would count them twice. */
	private applyFleetSums(message: SumsMessage, now: MonotonicMs): void {
		if (!this.hasReporters()) {
			this.applyLoads(fleetLoadKey, message, now, (load, id) => subtractLoad(load, this.options.readReportedLoad(id)));
			const elsewhere = subtractEntries(message.waiting ?? [], this.options.readReportedWaiting());
			this.options.backlog.record(fleetBacklogKey, elsewhere, now + message.validMs as MonotonicMs);
		}
	}

	private applyLoads(key: InstanceId, message: SumsMessage, now: MonotonicMs, adjust: (load: TargetLoad, id: LoadEntry[0]) => TargetLoad): void {
		const {loads, paces, validMs} = message;
		const entries = new Map(loads.map(entry => [entry[0], entry]));
		const isFull = loads.length + (paces?.length ?? 0) >= maximumLoads;
		const unlisted = isFull && this.options.paces.isEnabled() ? estimateUnlisted(loads) : undefined;
		const measuredAt = now - sumsAgeMs as MonotonicMs;
		const expiresAt = now + validMs as MonotonicMs;
		for (const target of this.options.fleet.list()) {
			const {id} = target.description;
			const entry = entries.get(id);
			const load = entry === undefined ? unlisted : parseLoad(entry);
			if (load === undefined) {
				target.forgetRemoteLoad(key, measuredAt);
			} else {
				target.recordRemoteLoad(key, adjust(load, id), {measuredAt, expiresAt});
			}
		}
	}
}

/**
 * Estimates the load of a target that full sums have no room for: half of the least that they list. If such targets counted as
 * idle, all instances would send to them.
 */
function estimateUnlisted(loads: readonly LoadEntry[]): TargetLoad {
	const {calls, prefillTokens, memoryTokens} = parseLoad(loads.at(-1)!);
	return {calls: calls / 2, prefillTokens: prefillTokens / 2, memoryTokens: memoryTokens / 2};
}

/** Subtracts the work that this instance has reported itself, which it knows more recently. */
function subtractLoad(total: TargetLoad, own: TargetLoad | undefined): TargetLoad {
	if (own === undefined) {
		return total;
	}

	return {
		calls: Math.max(0, total.calls - own.calls),
		prefillTokens: Math.max(0, total.prefillTokens - own.prefillTokens),
		memoryTokens: Math.max(0, total.memoryTokens - own.memoryTokens),
	};
}

function forgetOlder(times: Map<InstanceId, MonotonicMs>, limit: number): void {
	for (const [id, at] of times) {
		if (at < limit) {
			times.delete(id);
		}
	}
}
