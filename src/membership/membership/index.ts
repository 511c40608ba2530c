/** Membership and liveness of the entry instances, spread by heartbeats that carry gossip. */

import type {Clock} from '../../clock/clock/index.js';
import type {
	Incarnation, InstanceId, MonotonicMs, Revision,
} from '../../identity/ids/index.js';
import type {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {AddressCaller} from '../../peers/peer-client/index.js';
import type {InstanceList} from '../../store/instance-list/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {chooseHeartbeatPeers} from '../choose-heartbeat-peers/index.js';
import {createIncarnation} from '../create-incarnation/index.js';
import {
	heartbeatMethod, parseHeartbeat, compactEntry, fullEntryInterval, type CompactEntry, type Heartbeat, type HeartbeatEntry, type MemberEntry,
} from '../heartbeat/index.js';
import {HeartbeatLink} from '../heartbeat-link/index.js';
import type {Member, MemberView} from '../member/index.js';
import {MemberTable} from '../member-table/index.js';

/** Interval between heartbeat rounds, in milliseconds. */
export const heartbeatIntervalMs = 1000;
const listReadIntervalMs = 5000;
/** A link that was not used for more rounds than this is stopped. */
const maximumIdleRounds = 60;
/** Maximum number of heartbeats sent at once to seeds at the start, and to members before a planned stop. Later rounds reach the others. */
const maximumImmediateHeartbeats = 32;

/** Number of rounds after the start in which `describeSelf` returns full entries. */
const initialFullEntryRounds = 10;
/** Number of rounds after the start in which heartbeats are sent each round, so that the instance becomes known soon. */
const initialHeartbeatRounds = 3;

/** Revision of an instance without a configuration. */
export const noRevision = -1 as Revision;

/** Properties that do not change while an instance runs. */
export type MemberIdentity = Omit<Member, 'incarnation' | 'state' | 'revision' | 'settingsRevision'>;

/** Options of `Membership`. */
export type MembershipOptions = {
	readonly identity: MemberIdentity;
	readonly seeds: readonly string[];
	readonly instanceList?: InstanceList;
	readonly caller: AddressCaller;
	readonly registry: PeerMethodRegistry;
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly logger: EventLogger;
	readonly invariants: InvariantChecker;
	readonly readRevision: () => Revision;
	/** Returns the revision of the settings in force, if the instance has one. */
	readonly readSettingsRevision?: () => string;
	/** Counts the rounds from one round of heartbeats to the next, once the first ones are over. Defaults to 1; other messages may carry heartbeats as well. */
	readonly countRoundsPerHeartbeat?: (knownMembers: number) => number;
	/** Calculates the time after which a member whose counter does not advance is no longer live, in milliseconds. Defaults to 5 s. */
	readonly calculateLivenessTimeoutMs?: (knownMembers: number) => number;
};

type LinkRecord = {readonly link: HeartbeatLink; lastUsedRound: number};

/** The entry instances as this instance sees them. */
export class Membership implements MemberView {
	private incarnation: Incarnation;
	private state: Member['state'] = 'live';
	private counter = 0;
	private round = 0;
	private lastHeartbeatAt: MonotonicMs | undefined;
	private listedAddresses: readonly string[] = [];
	private readonly table: MemberTable;
	private readonly links = new Map<string, LinkRecord>();
	private readonly stopController = new AbortController();

	constructor(private readonly options: MembershipOptions) {
		this.incarnation = createIncarnation(options.clock.readWall());
		this.table = new MemberTable(options.identity.id, options.random, options.calculateLivenessTimeoutMs);
		options.registry.register(heartbeatMethod, async parameters => this.handleHeartbeat(parseHeartbeat(parameters)));
	}

	readSelf(): Member {
		return {
			...this.options.identity, incarnation: this.incarnation, state: this.state, revision: this.options.readRevision(),
			settingsRevision: this.options.readSettingsRevision?.(),
		};
	}

	listLive(now: MonotonicMs): readonly Member[] {
		return [this.readSelf(), ...this.table.listLive(now)];
	}

	/** Counts all known members, live or not, including this instance. */
	countKnownMembers(): number {
		return this.table.count() + 1;
	}

	/** Finds the peer address of a known instance, even if it is not live. */
	findPeerAddress(id: InstanceId): string | undefined {
		return this.table.find(id)?.peerAddress;
	}

	/** Returns when a heartbeat or its response last arrived, or undefined if none has arrived yet. */
	readLastHeartbeatAt(): MonotonicMs | undefined {
		return this.lastHeartbeatAt;
	}

	/** Sends heartbeats to the seeds at once and starts the background tasks, which run until `stop` is called. */
	start(): void {
		for (const address of this.listSeeds().slice(0, maximumImmediateHeartbeats)) {
			this.openLink(address).link.request();
		}

		void this.runRounds();
		if (this.options.instanceList !== undefined) {
			void this.runListReader(this.options.instanceList);
		}
	}

	/** Marks this instance as leaving and sends heartbeats to live members at once. */
	markLeaving(): void {
		this.state = 'leaving';
		this.advanceCounter();
		const live = this.table.listLive(this.options.clock.readMonotonic());
		for (const member of this.options.random.pickSome(live, maximumImmediateHeartbeats)) {
			this.openLink(member.peerAddress).link.request();
		}
	}

	/** Returns an entry for this instance to send in messages other than heartbeats. It is full at first, so that the others learn the incarnation. */
	describeSelf(): MemberEntry {
		this.advanceCounter();
		const entry = {...this.readSelf(), counter: this.counter, ageMs: 0};
		return this.round <= initialFullEntryRounds || this.counter % fullEntryInterval === 0 ? entry : compactEntry(entry);
	}

	/** Lists one of `turns` parts of the other live members that `isIncluded` accepts, for messages other than heartbeats. */
	listTurn(turn: number, turns: number, now: MonotonicMs, isIncluded: (member: Member) => boolean): CompactEntry[] {
		return this.table.listTurn(turn, turns, now, isIncluded);
	}

	/** Picks up to `limit` full entries of members that have recently started or changed their state. */
	pickChanged(limit: number, now: MonotonicMs, isIncluded: (member: Member) => boolean): HeartbeatEntry[] {
		return this.table.pickChanged(limit, now, isIncluded);
	}

	/** Applies an entry about a member, whether it was sent by that member or by another one. */
	applyEntry(received: MemberEntry, now: MonotonicMs): void {
		const entry = 'life' in received ? this.table.expandEntry(received) : received;
		if (entry === undefined) {
			return;
		}

		if (entry.id === this.options.identity.id) {
			this.raiseOwnIncarnation(entry);
		} else {
			this.mergePeerEntry(entry, now);
		}
	}

	stop(): void {
		this.stopController.abort();
		for (const {link} of this.links.values()) {
			link.stop();
		}

		this.links.clear();
	}

	dump(): unknown {
		const now = this.options.clock.readMonotonic();
		const {counter, round, lastHeartbeatAt, listedAddresses: listed} = this;
		return {
			self: this.readSelf(), counter, round, listed, links: this.links.size, members: this.table.dump(now),
			lastHeardMs: lastHeartbeatAt === undefined ? undefined : Math.round(now - lastHeartbeatAt),
		};
	}

	private async runRounds(): Promise<void> {
		const {clock, random} = this.options;
		const {signal} = this.stopController;
		await clock.sleep(random.pickIndex(heartbeatIntervalMs), signal);
		while (!signal.aborted) {
			this.runRound(clock.readMonotonic());
			await clock.sleep(random.applyJitter(heartbeatIntervalMs), signal);
		}
	}

	private runRound(now: MonotonicMs): void {
		this.round += 1;
		this.advanceCounter();
		this.table.prune(now);
		if (this.isHeartbeatDue()) {
			this.sendHeartbeats(now);
		}

		this.closeIdleLinks();
	}

	private isHeartbeatDue(): boolean {
		const roundsPerHeartbeat = this.options.countRoundsPerHeartbeat?.(this.table.count()) ?? 1;
		return this.round <= initialHeartbeatRounds || this.round % roundsPerHeartbeat === 0;
	}

	private sendHeartbeats(now: MonotonicMs): void {
		const live = this.table.listLive(now);
		const liveAddresses = new Set([this.options.identity.peerAddress, ...live.map(member => member.peerAddress)]);
		const candidateAddresses = [...this.listSeeds(), ...this.listedAddresses, ...this.table.listSilent(now).map(member => member.peerAddress)];
		const silentAddresses = [...new Set(candidateAddresses)].filter(address => !liveAddresses.has(address));
		for (const address of chooseHeartbeatPeers({self: this.readSelf(), live, silentAddresses}, this.options.random)) {
			this.openLink(address).link.request();
		}
	}

	private async runListReader(instanceList: InstanceList): Promise<void> {
		const {clock, random} = this.options;
		const {signal} = this.stopController;
		while (!signal.aborted) {
			try {
				const items = await instanceList.read();
				this.listedAddresses = items.filter(item => item.role === 'entry').map(item => item.address);
			} catch {
				// The list only adds addresses to try, so the last one read stays in use.
			}

			await clock.sleep(random.applyJitter(listReadIntervalMs), signal);
		}
	}

	private handleHeartbeat(heartbeat: Heartbeat): Heartbeat {
		this.mergeHeartbeat(heartbeat);
		return this.createHeartbeat(heartbeat.sender.id);
	}

	private mergeHeartbeat(heartbeat: Heartbeat): void {
		const now = this.options.clock.readMonotonic();
		this.lastHeartbeatAt = now;
		for (const entry of [heartbeat.sender, ...heartbeat.sample]) {
			this.applyEntry(entry, now);
		}
	}

	private mergePeerEntry(entry: HeartbeatEntry, now: MonotonicMs): void {
		const previous = this.table.find(entry.id);
		if (!this.table.merge(entry, now)) {
			return;
		}

		const isIncreasing = previous === undefined || entry.incarnation >= previous.incarnation;
		this.options.invariants.check('incarnationMonotonic', isIncreasing, `member ${entry.id}`);
		if (previous?.incarnation !== entry.incarnation || previous.state !== entry.state) {
			this.options.logger.info('member changed', {member: entry.id, incarnation: entry.incarnation, state: entry.state});
		}
	}

	/** Raises the incarnation above one that peers remember. Theirs can be higher if the wall clock was set back between two starts. */
	private raiseOwnIncarnation(entry: HeartbeatEntry): void {
		if (entry.incarnation > this.incarnation) {
			const raised = createIncarnation(this.options.clock.readWall(), entry.incarnation);
			this.options.logger.warn('incarnation raised above a remembered one', {remembered: entry.incarnation, incarnation: raised});
			this.options.invariants.check('incarnationMonotonic', raised > this.incarnation, 'own incarnation');
			this.incarnation = raised;
		}
	}

	private createHeartbeat(receiver?: InstanceId): Heartbeat {
		const now = this.options.clock.readMonotonic();
		const sender = {...this.readSelf(), counter: this.counter, ageMs: 0};
		return {sender, sample: this.table.pickSample(receiver, now)};
	}

	private advanceCounter(): void {
		const previousCounter = this.counter;
		this.counter += 1;
		this.options.invariants.check('heartbeatMonotonic', this.counter > previousCounter, `${previousCounter} to ${this.counter}`);
	}

	private listSeeds(): string[] {
		return this.options.seeds.filter(address => address !== this.options.identity.peerAddress);
	}

	private openLink(address: string): LinkRecord {
		let record = this.links.get(address);
		if (record === undefined) {
			const link = new HeartbeatLink({
				address,
				caller: this.options.caller,
				createHeartbeat: () => this.createHeartbeat(),
				onResponse: heartbeat => {
					this.mergeHeartbeat(heartbeat);
				},
				onFailure() {
					// A member that does not respond stops being live after the timeout, unless other members receive its heartbeats.
				},
			});
			record = {link, lastUsedRound: this.round};
			this.links.set(address, record);
			void link.run();
		}

		record.lastUsedRound = this.round;
		return record;
	}

	private closeIdleLinks(): void {
		for (const [address, record] of this.links) {
			if (this.round - record.lastUsedRound > maximumIdleRounds) {
				record.link.stop();
				this.links.delete(address);
			}
		}
	}
}
