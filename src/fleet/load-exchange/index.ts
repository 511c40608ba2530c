/**
 * Exchanges load reports among the instances by datagram: the work in flight that each has sent to every
 * target, and the prompt prefixes that it used there. The datagrams also serve as heartbeats.
 *
 * Each instance sees only its own traffic, and a burst fills a target before any single instance notices.
 * The next datagram replaces a lost one, so nothing is retransmitted. In a small fleet each instance reports to all
 * others. In a large one it reports to the aggregator of its data centre, which sends the sums of the whole fleet back.
 */

import {SharedBacklog, type WaitingEntry} from '../../admission/shared-backlog/index.js';
import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {parseMemberEntry} from '../../membership/heartbeat/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {AggregatorChoice} from '../aggregator-choice/index.js';
import type {TargetLoad} from '../fleet-target/index.js';
import {LoadAggregator, sumValidityMs, type AggregatedMembership} from '../load-aggregator/index.js';
import {
	formatLoad, formatWaiting, loadMessageType, parseLoad, type LoadEntry, type LoadMessage, type PaceEntry,
} from '../load-messages/index.js';
import {PaceExchange} from '../pace-exchange/index.js';
import type {PrefixDirectory, PrefixUse} from '../prefix-directory/index.js';
import {hasAggregators, rankAggregators} from '../rank-aggregators/index.js';
import type {TargetFleet} from '../target-fleet/index.js';

/** Interval between the rounds of a small fleet, and between those of a large one, in milliseconds. */
const directRoundIntervalMs = 100;
const aggregatedRoundIntervalMs = 200;
/** Limits of the reports to one kind of receiver. */
type ReportLimits = {
	/** Maximum number of loads and of prefix uses in a datagram. */
	readonly loads: number;
	readonly prefixUses: number;
	/** Time for which a reported load counts, in milliseconds. */
	readonly validMs: number;
	/** Rounds without a datagram to a receiver after which it gets an empty one as a heartbeat. */
	readonly idleRounds: number;
};

/** Reports to all others: a datagram fits into one packet. */
const directLimits: ReportLimits = {
	loads: 16, prefixUses: 12, validMs: 1000, idleRounds: 3,
};
/** Reports to an aggregator, of which an instance sends only one in a round. */
const aggregatedLimits: ReportLimits = {
	loads: 64, prefixUses: 32, validMs: sumValidityMs, idleRounds: 2,
};
/** Time without a heartbeat after which an instance of a small fleet no longer counts as live, in milliseconds. */
const directLivenessTimeoutMs = 2000;
/** The same in a large fleet, where a heartbeat passes two aggregators and several messages in a row may be lost. */
const aggregatedLivenessTimeoutMs = 4000;

/** Dependencies of the exchange. */
export type LoadExchangeOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly fleet: TargetFleet;
	readonly prefixes: PrefixDirectory;
	readonly channel: DatagramTransport;
	readonly readSelf: () => Member;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	readonly membership: AggregatedMembership;
	/** Without it, no calls wait in queues. */
	readonly backlog?: SharedBacklog | undefined;
	/** Whether observations of the speeds of targets are passed on in a large fleet; not if it is undefined. */
	readonly sharesPaces?: () => boolean;
};

type LastReport = {readonly round: number; readonly nextUseNumber: number; readonly wasIdle: boolean};

/** Reports the loads of this instance to the others and records theirs. */
export class LoadExchange {
	/** The last report sent to each instance. */
	private readonly lastReports = new Map<InstanceId, LastReport>();
	private readonly aggregator: LoadAggregator;
	private readonly paces: PaceExchange;
	private readonly aggregatorChoice = new AggregatorChoice();
	/** The loads in the last report to an aggregator. */
	private reportedLoads: ReadonlyMap<LoadEntry[0], TargetLoad> = new Map();
	/** The waiting calls in it. */
	private reportedWaiting: readonly WaitingEntry[] = [];
	private readonly backlog: SharedBacklog;
	private round = 0;
	/** Whether the fleet was large in the last round. */
	private usesAggregators = false;

	constructor(private readonly options: LoadExchangeOptions) {
		options.channel.register(loadMessageType, body => {
			this.receive(body as LoadMessage);
		});
		this.backlog = options.backlog ?? new SharedBacklog(() => []);
		this.paces = new PaceExchange(options.fleet, () => options.sharesPaces?.() ?? false);
		this.aggregator = new LoadAggregator({
			...options,
			backlog: this.backlog,
			paces: this.paces,
			readReportedWaiting: () => this.reportedWaiting,
			readReportedLoad: target => this.reportedLoads.get(target),
			onSums: (sender, now) => {
				this.aggregatorChoice.recordSums(sender, now);
			},
		});
	}

	/** Sends reports until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random, listPeers} = this.options;
		let intervalMs = directRoundIntervalMs;
		while (!signal.aborted) {
			await clock.sleep(random.applyJitter(intervalMs), signal);
			const peers = listPeers();
			this.round += 1;
			this.forgetReportsOfLost(peers);
			this.usesAggregators = hasAggregators(peers.length);
			if (this.usesAggregators) {
				this.exchangeWithAggregators(peers);
				intervalMs = aggregatedRoundIntervalMs;
			} else {
				this.reportToAll(peers);
				intervalMs = directRoundIntervalMs;
			}
		}
	}

	/** Reports to the aggregator of the data centre, or acts as the aggregator. */
	private exchangeWithAggregators(peers: readonly Member[]): void {
		const self = this.options.readSelf();
		const now = this.options.clock.readMonotonic();
		const aggregator = this.aggregatorChoice.choose(rankAggregators([self, ...peers], self.dataCentre), now);
		if (this.aggregator.hasReporters() || aggregator?.id === self.id) {
			this.aggregatorChoice.recordSums(self.id, now);
			this.aggregator.recordUses(this.takeOwnUses(self.id));
			this.aggregator.keepPaces(this.paces.takeOwn(now));
			this.aggregator.sendSums(now);
		} else if (aggregator !== undefined) {
			const paces = this.paces.takeOwn(now);
			const loads = this.listLoads(aggregatedLimits.loads - paces.length);
			this.reportedLoads = new Map(loads.map(entry => [entry[0], parseLoad(entry)]));
			this.reportedWaiting = this.backlog.listOwn();
			this.report([aggregator], loads, aggregatedLimits, paces.length > 0 ? paces : undefined);
		}
	}

	/** Returns the prefix uses of this instance since the last sums that it sent. */
	private takeOwnUses(self: InstanceId): readonly PrefixUse[] {
		const {prefixes} = this.options;
		const uses = prefixes.listOwnUses(this.lastReports.get(self)?.nextUseNumber ?? 0, aggregatedLimits.prefixUses);
		this.lastReports.set(self, {round: this.round, nextUseNumber: prefixes.nextOwnUseNumber, wasIdle: false});
		return uses;
	}

	private reportToAll(peers: readonly Member[]): void {
		const loads = this.listLoads(directLimits.loads);
		for (const receivers of this.groupByNextUseNumber(peers).values()) {
			this.report(receivers, loads, directLimits);
		}
	}

	/** Sends a report to receivers that need the same prefix uses. */
	private report(receivers: readonly Member[], loads: readonly LoadEntry[], limits: ReportLimits, paces?: readonly PaceEntry[]): void {
		const {channel, prefixes, membership} = this.options;
		const uses = prefixes.listOwnUses(this.lastReports.get(receivers[0]!.id)?.nextUseNumber ?? 0, limits.prefixUses);
		const waiting = formatWaiting(this.backlog.listOwn());
		const isIdle = loads.length === 0 && waiting === undefined;
		const dueReceivers = receivers.filter(peer => !isIdle || uses.length > 0 || this.isEmptyReportDue(peer, limits.idleRounds));
		for (const peer of dueReceivers) {
			this.lastReports.set(peer.id, {round: this.round, nextUseNumber: prefixes.nextOwnUseNumber, wasIdle: isIdle});
		}

		if (dueReceivers.length > 0) {
			const message: LoadMessage = {
				sender: membership.describeSelf(), validMs: limits.validMs, loads, prefixes: uses, waiting, paces,
			};
			channel.send(dueReceivers.map(peer => peer.peerAddress), loadMessageType, message);
		}
	}

	/** Groups receivers that need the same prefix uses, so that they share a message. */
	private groupByNextUseNumber(receivers: readonly Member[]): Map<number, Member[]> {
		const groups = new Map<number, Member[]>();
		for (const peer of receivers) {
			const nextUseNumber = this.lastReports.get(peer.id)?.nextUseNumber ?? 0;
			groups.set(nextUseNumber, [...groups.get(nextUseNumber) ?? [], peer]);
		}

		return groups;
	}

	/** Whether a receiver gets an empty report: once when the last work has ended, so that it drops the load at once, and then as a heartbeat. */
	private isEmptyReportDue(peer: Member, idleRounds: number): boolean {
		const lastReport = this.lastReports.get(peer.id);
		return lastReport?.wasIdle !== true || this.round - lastReport.round >= idleRounds;
	}

	private forgetReportsOfLost(peers: readonly Member[]): void {
		if (this.lastReports.size > peers.length + 1) {
			const liveIds = new Set([this.options.readSelf().id, ...peers.map(peer => peer.id)]);
			for (const id of this.lastReports.keys()) {
				if (!liveIds.has(id)) {
					this.lastReports.delete(id);
				}
			}
		}
	}

	/** Lists the loads of this instance; those that take the most memory if there are more than `limit`. */
	private listLoads(limit: number): LoadEntry[] {
		const loads: LoadEntry[] = [];
		for (const target of this.options.fleet.list()) {
			if (target.calls.size > 0) {
				loads.push(formatLoad(target.description.id, target.readOwnLoad()));
			}
		}

		return loads.length <= limit ? loads : loads.toSorted((a, b) => b[3] - a[3]).slice(0, limit);
	}

	private receive({sender, validMs, loads, prefixes: uses, waiting, paces}: LoadMessage): void {
		const {clock, fleet, prefixes, membership} = this.options;
		const now = clock.readMonotonic();
		const senderId = sender.id;
		membership.applyEntry(parseMemberEntry(sender), now);
		this.backlog.record(senderId, waiting, now + validMs as MonotonicMs);
		for (const [prefix, target] of uses) {
			prefixes.recordUse(prefix, target, now);
		}

		const entriesByTarget = new Map(loads.map(entry => [entry[0], entry]));
		for (const target of fleet.list()) {
			const entry = entriesByTarget.get(target.description.id);
			if (entry === undefined) {
				target.forgetRemoteLoad(senderId);
			} else {
				target.recordRemoteLoad(senderId, parseLoad(entry), {expiresAt: now + validMs as MonotonicMs});
			}
		}

		if (this.usesAggregators) {
			this.aggregator.recordReport(senderId, uses, now);
			this.paces.record(paces, now);
			this.aggregator.keepPaces(paces);
		}
	}
}

/** Calculates the time without a heartbeat after which an instance no longer counts as live, in a fleet of `memberCount` other instances. */
export function calculateLivenessTimeoutMs(memberCount: number): number {
	return hasAggregators(memberCount) ? aggregatedLivenessTimeoutMs : directLivenessTimeoutMs;
}
