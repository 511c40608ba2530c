/**
 * Tells the other instances what work this one has sent to each target and which prompt prefixes it used
 * there, by datagrams. They are signs of life as well.
 *
 * Load pattern: each instance sees only its part of the traffic, and bursts fill a target before any
 * single instance notices. A lost datagram is replaced by the next one, so nothing is repeated. In a
 * large fleet the receivers take turns, and each gets all prefix uses since its last turn.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {parseMemberEntry, type MemberEntry} from '../../membership/heartbeat/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramSender} from '../../peers/datagram-channel/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {PrefixDirectory, PrefixUse} from '../prefix-directory/index.js';
import type {TargetFleet} from '../target-fleet/index.js';

/** Type of the datagrams. */
export const loadMessageType = 'loads';
/** Interval of the datagrams while there is work to report, in milliseconds. */
const intervalMs = 100;
/** Instances told in one interval; with more instances each hears less often. */
const maximumReceivers = 8;
/** Targets and prefix uses in one datagram at most, so that it fits into one packet. */
const maximumLoads = 16;
const maximumUses = 12;
/** Turns without a report after which the work that an instance reported is forgotten. */
const missedTurns = 3;
/** Shortest time for which reported work counts, in milliseconds. */
const shortestValidityMs = 1000;
/** Rounds without a datagram to a receiver after which it gets an empty one. */
const longestQuiet = 3;
/** Time without a datagram after which an instance no longer counts as live, in milliseconds. */
const shortestLifeMs = 2000;
/** Datagrams in a row of which one has to arrive. */
const toleratedLosses = 4;

/** What the exchange needs. */
export type LoadExchangeOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly fleet: TargetFleet;
	readonly prefixes: PrefixDirectory;
	readonly channel: DatagramSender;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	readonly membership: MembershipSignals;
};

/** Membership as far as signs of life go. */
export type MembershipSignals = {
	describeSelf(): MemberEntry;
	noteEntry(entry: MemberEntry, now: MonotonicMs): void;
};

/** Target, calls in progress, prompt tokens not computed yet and tokens of memory taken. */
type LoadEntry = readonly [id: TargetId, calls: number, prefillTokens: number, memoryTokens: number];
type LoadMessage = {
	readonly sender: MemberEntry;
	/** Time for which the loads count, in milliseconds. */
	readonly validMs: number;
	readonly loads: readonly LoadEntry[];
	readonly prefixes: readonly PrefixUse[];
};

/** Sends own loads and takes over those of others. */
export class LoadExchange {
	/** When each instance was told last, and up to which prefix use. */
	private readonly told = new Map<InstanceId, {readonly round: number; readonly nextUse: number; readonly wasIdle: boolean}>();
	private round = 0;

	constructor(private readonly options: LoadExchangeOptions) {
		options.channel.register(loadMessageType, body => {
			this.receive(body as LoadMessage);
		});
	}

	/** Sends until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		while (!signal.aborted) {
			await clock.sleep(random.spreadPause(intervalMs), signal);
			this.send();
		}
	}

	private send(): void {
		const {channel, listPeers, prefixes, membership} = this.options;
		const loads = this.listLoads();
		const peers = listPeers();
		const validMs = Math.max(shortestValidityMs, missedTurns * countTurns(peers.length) * intervalMs);
		const sender = membership.describeSelf();
		this.round += 1;
		for (const [nextUse, receivers] of this.groupByNextUse(this.chooseReceivers(peers))) {
			const uses = prefixes.listOwnUses(nextUse, maximumUses);
			const due = receivers.filter(peer => loads.length > 0 || uses.length > 0 || this.isDue(peer));
			for (const peer of due) {
				this.told.set(peer.id, {round: this.round, nextUse: prefixes.nextOwnUse, wasIdle: loads.length === 0});
			}

			if (due.length === 0) {
				continue;
			}

			const message: LoadMessage = {
				sender, validMs, loads, prefixes: uses,
			};
			channel.send(due.map(peer => peer.peerAddress), loadMessageType, message);
		}
	}

	/** Groups receivers that lack the same prefix uses, so that they share a message. */
	private groupByNextUse(receivers: readonly Member[]): Map<number, Member[]> {
		const groups = new Map<number, Member[]>();
		for (const peer of receivers) {
			const nextUse = this.told.get(peer.id)?.nextUse ?? 0;
			groups.set(nextUse, [...groups.get(nextUse) ?? [], peer]);
		}

		return groups;
	}

	/** Whether a receiver gets an empty report: once after the last work, so that it forgets that at once, and when it has heard nothing for long. */
	private isDue(peer: Member): boolean {
		const before = this.told.get(peer.id);
		return before?.wasIdle !== true || this.round - before.round >= longestQuiet;
	}

	/** The instances that were told longest ago. */
	private chooseReceivers(peers: readonly Member[]): Member[] {
		if (peers.length <= maximumReceivers) {
			return [...peers];
		}

		const live = new Set(peers.map(peer => peer.id));
		for (const id of this.told.keys()) {
			if (!live.has(id)) {
				this.told.delete(id);
			}
		}

		const readRound = (peer: Member) => this.told.get(peer.id)?.round ?? 0;
		return peers.toSorted((a, b) => readRound(a) - readRound(b)).slice(0, maximumReceivers);
	}

	/** Lists the targets with most own work. */
	private listLoads(): LoadEntry[] {
		const loads: LoadEntry[] = [];
		for (const target of this.options.fleet.list()) {
			if (target.calls.size > 0) {
				const {calls, prefillTokens, memoryTokens} = target.readOwnLoad();
				loads.push([target.description.id, calls, prefillTokens, memoryTokens]);
			}
		}

		return loads.length <= maximumLoads ? loads : loads.toSorted((a, b) => b[3] - a[3]).slice(0, maximumLoads);
	}

	private receive({sender, validMs, loads, prefixes: uses}: LoadMessage): void {
		const {clock, fleet, prefixes, membership} = this.options;
		const now = clock.readMonotonic();
		const from = sender.id;
		membership.noteEntry(parseMemberEntry(sender), now);
		for (const [prefix, target] of uses) {
			prefixes.noteUse(prefix, target, now);
		}

		const reported = new Map(loads.map(entry => [entry[0], entry]));
		for (const target of fleet.list()) {
			const entry = reported.get(target.description.id);
			if (entry === undefined) {
				target.forgetRemoteLoad(from);
			} else {
				const [, calls, prefillTokens, memoryTokens] = entry;
				target.noteRemoteLoad(from, {calls, prefillTokens, memoryTokens}, now + validMs as MonotonicMs);
			}
		}
	}
}

/** Time without a datagram after which an instance no longer counts as live, in milliseconds, in a fleet of `members`. */
export function calculateLifeMs(members: number): number {
	return Math.max(shortestLifeMs, toleratedLosses * countTurns(members) * intervalMs);
}

/** Rounds in which each other instance is told once. */
function countTurns(peers: number): number {
	return Math.max(1, Math.ceil(peers / maximumReceivers));
}
