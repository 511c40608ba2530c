/**
 * Exchanges load reports among the instances by datagram: the work in flight that each has sent to every
 * target, and the prompt prefixes that it used there. The datagrams also serve as heartbeats.
 *
 * Each instance sees only its own traffic, and a burst fills a target before any single instance notices.
 * The next datagram replaces a lost one, so nothing is retransmitted. In a large fleet the receivers are served
 * round robin, and each gets all prefix uses since its previous report.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {parseMemberEntry, type MemberEntry} from '../../membership/heartbeat/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {PrefixDirectory, PrefixUse} from '../prefix-directory/index.js';
import type {TargetFleet} from '../target-fleet/index.js';

/** Message type of the load reports. */
export const loadMessageType = 'loads';
/** Interval between rounds of reports; receivers get fewer while there is no work to report. */
const roundIntervalMs = 100;
/** Receivers in one round; with more instances, each gets reports less often. */
const maximumReceiversPerRound = 8;
/** Maximum loads and prefix uses in one datagram, so that it fits into one packet. */
const maximumLoadsPerMessage = 16;
const maximumPrefixUsesPerMessage = 12;
/** Cycles without a report after which a reported load expires. In a cycle, each other instance gets one report. */
const loadValidityCycles = 3;
/** Minimum time for which a reported load counts. */
const minimumLoadValidityMs = 1000;
/** Rounds without a datagram to a receiver after which it gets an empty one as a heartbeat. */
const idleHeartbeatRounds = 3;
/** Minimum time without a datagram after which an instance no longer counts as live. */
const minimumLivenessTimeoutMs = 2000;
/** Cycles without a datagram after which an instance no longer counts as live: one of as many consecutive datagrams has to arrive. */
const livenessTimeoutCycles = 4;

/** Dependencies of the exchange. */
export type LoadExchangeOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly fleet: TargetFleet;
	readonly prefixes: PrefixDirectory;
	readonly channel: DatagramTransport;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	readonly membership: MembershipHeartbeats;
};

/** The part of the membership that sends and receives heartbeats. */
export type MembershipHeartbeats = {
	describeSelf(): MemberEntry;
	applyEntry(entry: MemberEntry, now: MonotonicMs): void;
};

/** Load of one target: calls in flight, prompt tokens still to compute and engine memory taken, in tokens. */
type LoadEntry = readonly [id: TargetId, calls: number, prefillTokens: number, memoryTokens: number];
type LoadMessage = {
	readonly sender: MemberEntry;
	/** Time after receipt for which the loads count, in milliseconds. */
	readonly validMs: number;
	readonly loads: readonly LoadEntry[];
	readonly prefixes: readonly PrefixUse[];
};

/** Reports the loads of this instance to the others and records theirs. */
export class LoadExchange {
	/** The last report sent to each instance. */
	private readonly lastReports = new Map<InstanceId, {readonly round: number; readonly nextUseNumber: number; readonly wasIdle: boolean}>();
	private round = 0;

	constructor(private readonly options: LoadExchangeOptions) {
		options.channel.register(loadMessageType, body => {
			this.receive(body as LoadMessage);
		});
	}

	/** Sends reports until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		while (!signal.aborted) {
			await clock.sleep(random.applyJitter(roundIntervalMs), signal);
			this.send();
		}
	}

	private send(): void {
		const {channel, listPeers, prefixes, membership} = this.options;
		const loads = this.listLoads();
		const peers = listPeers();
		const validMs = Math.max(minimumLoadValidityMs, loadValidityCycles * countRoundsPerCycle(peers.length) * roundIntervalMs);
		const sender = membership.describeSelf();
		this.round += 1;
		for (const [nextUseNumber, receivers] of this.groupByNextUseNumber(this.chooseReceivers(peers))) {
			const uses = prefixes.listOwnUses(nextUseNumber, maximumPrefixUsesPerMessage);
			const dueReceivers = receivers.filter(peer => loads.length > 0 || uses.length > 0 || this.isEmptyReportDue(peer));
			for (const peer of dueReceivers) {
				this.lastReports.set(peer.id, {round: this.round, nextUseNumber: prefixes.nextOwnUseNumber, wasIdle: loads.length === 0});
			}

			if (dueReceivers.length === 0) {
				continue;
			}

			const message: LoadMessage = {
				sender, validMs, loads, prefixes: uses,
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
	private isEmptyReportDue(peer: Member): boolean {
		const lastReport = this.lastReports.get(peer.id);
		return lastReport?.wasIdle !== true || this.round - lastReport.round >= idleHeartbeatRounds;
	}

	/** Chooses the instances whose last report is the oldest. */
	private chooseReceivers(peers: readonly Member[]): Member[] {
		if (peers.length <= maximumReceiversPerRound) {
			return [...peers];
		}

		const liveIds = new Set(peers.map(peer => peer.id));
		for (const id of this.lastReports.keys()) {
			if (!liveIds.has(id)) {
				this.lastReports.delete(id);
			}
		}

		const readRound = (peer: Member) => this.lastReports.get(peer.id)?.round ?? 0;
		return peers.toSorted((a, b) => readRound(a) - readRound(b)).slice(0, maximumReceiversPerRound);
	}

	/** Lists the loads of this instance; those that take the most memory if there are too many for a message. */
	private listLoads(): LoadEntry[] {
		const loads: LoadEntry[] = [];
		for (const target of this.options.fleet.list()) {
			if (target.calls.size > 0) {
				const {calls, prefillTokens, memoryTokens} = target.readOwnLoad();
				loads.push([target.description.id, calls, prefillTokens, memoryTokens]);
			}
		}

		return loads.length <= maximumLoadsPerMessage ? loads : loads.toSorted((a, b) => b[3] - a[3]).slice(0, maximumLoadsPerMessage);
	}

	private receive({sender, validMs, loads, prefixes: uses}: LoadMessage): void {
		const {clock, fleet, prefixes, membership} = this.options;
		const now = clock.readMonotonic();
		const senderId = sender.id;
		membership.applyEntry(parseMemberEntry(sender), now);
		for (const [prefix, target] of uses) {
			prefixes.recordUse(prefix, target, now);
		}

		const entriesByTarget = new Map(loads.map(entry => [entry[0], entry]));
		for (const target of fleet.list()) {
			const entry = entriesByTarget.get(target.description.id);
			if (entry === undefined) {
				target.forgetRemoteLoad(senderId);
			} else {
				const [, calls, prefillTokens, memoryTokens] = entry;
				target.recordRemoteLoad(senderId, {calls, prefillTokens, memoryTokens}, now + validMs as MonotonicMs);
			}
		}
	}
}

/** Calculates the time without a datagram after which an instance no longer counts as live, in a fleet of `memberCount` instances. */
export function calculateLivenessTimeoutMs(memberCount: number): number {
	return Math.max(minimumLivenessTimeoutMs, livenessTimeoutCycles * countRoundsPerCycle(memberCount) * roundIntervalMs);
}

/** Counts the rounds of a cycle, in which each other instance gets one report. */
function countRoundsPerCycle(peerCount: number): number {
	return Math.max(1, Math.ceil(peerCount / maximumReceiversPerRound));
}
