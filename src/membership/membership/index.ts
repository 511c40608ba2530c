/** Liveness of the entry instances, by heartbeats with gossip. */

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
	heartbeatMethod, parseHeartbeat, shortenEntry, wholeEntryInterval, type Heartbeat, type HeartbeatEntry, type MemberEntry,
} from '../heartbeat/index.js';
import {HeartbeatLink} from '../heartbeat-link/index.js';
import type {Member, MemberView} from '../member/index.js';
import {MemberTable} from '../member-table/index.js';

/** Pause between heartbeat rounds, in milliseconds. */
export const heartbeatIntervalMs = 1000;
const listIntervalMs = 5000;
/** Links to addresses that got no heartbeat for this many rounds are stopped. */
const idleRounds = 60;
/** Seeds asked at the start, and members told at once of a planned stop. Later rounds reach the others. */
const maximumBurst = 32;

/** Rounds at the start of a life in which signs of life describe the whole member. */
const wholeRounds = 10;

/** Revision of an instance without a configuration. */
export const noRevision = -1 as Revision;

/** What does not change during one life of an instance. */
export type MemberIdentity = Omit<Member, 'incarnation' | 'state' | 'revision'>;

/** What membership needs. */
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
	/** Time without a sign of life after which a member no longer counts as live, in milliseconds, by the number of members; 5 s by default. */
	readonly calculateTimeout?: (members: number) => number;
};

type LinkRecord = {readonly link: HeartbeatLink; usedInRound: number};

/** This instance's view of all entry instances. */
export class Membership implements MemberView {
	private incarnation: Incarnation;
	private state: Member['state'] = 'live';
	private counter = 0;
	private round = 0;
	private lastHeardAt: MonotonicMs | undefined;
	private listed: readonly string[] = [];
	private readonly table: MemberTable;
	private readonly links = new Map<string, LinkRecord>();
	private readonly controller = new AbortController();

	constructor(private readonly options: MembershipOptions) {
		this.incarnation = createIncarnation(options.clock.readWall());
		this.table = new MemberTable(options.identity.id, options.random, options.calculateTimeout);
		options.registry.register(heartbeatMethod, async parameters => this.answer(parseHeartbeat(parameters)));
	}

	readSelf(): Member {
		return {
			...this.options.identity, incarnation: this.incarnation, state: this.state, revision: this.options.readRevision(),
		};
	}

	listLive(now: MonotonicMs): readonly Member[] {
		return [this.readSelf(), ...this.table.listLive(now)];
	}

	/** Counts all members that are remembered, live or not, this instance included. */
	countKnown(): number {
		return this.table.count() + 1;
	}

	/** Finds the peer address of an instance, also of one that is not live. */
	locate(id: InstanceId): string | undefined {
		return this.table.find(id)?.peerAddress;
	}

	/** When a peer was last heard; undefined while no peer has ever been known. */
	readLastHeard(): MonotonicMs | undefined {
		return this.lastHeardAt;
	}

	/** Asks the seeds at once and starts the tasks, which run until `stop`. */
	start(): void {
		for (const address of this.listSeeds().slice(0, maximumBurst)) {
			this.open(address).link.request();
		}

		void this.runRounds();
		if (this.options.instanceList !== undefined) {
			void this.runListReader(this.options.instanceList);
		}
	}

	/** Marks this instance as leaving and tells the live members at once. */
	markLeaving(): void {
		this.state = 'leaving';
		this.advanceCounter();
		const live = this.table.listLive(this.options.clock.readMonotonic());
		for (const member of this.options.random.pickSome(live, maximumBurst)) {
			this.open(member.peerAddress).link.request();
		}
	}

	/** Describes this instance for a sign of life outside heartbeats. It is whole at first, until the others know its life. */
	describeSelf(): MemberEntry {
		this.advanceCounter();
		const entry = {...this.readSelf(), counter: this.counter, ageMs: 0};
		return this.round <= wholeRounds || this.counter % wholeEntryInterval === 0 ? entry : shortenEntry(entry);
	}

	/** Takes over what is said of a member, by itself or by others. */
	noteEntry(received: MemberEntry, now: MonotonicMs): void {
		const entry = 'life' in received ? this.table.completeEntry(received) : received;
		if (entry === undefined) {
			return;
		}

		if (entry.id === this.options.identity.id) {
			this.noteOwnEntry(entry);
		} else {
			this.mergeEntry(entry, now);
		}
	}

	stop(): void {
		this.controller.abort();
		for (const {link} of this.links.values()) {
			link.stop();
		}

		this.links.clear();
	}

	dump(): unknown {
		const now = this.options.clock.readMonotonic();
		const {counter, round, lastHeardAt, listed} = this;
		return {
			self: this.readSelf(), counter, round, listed, links: this.links.size, members: this.table.dump(now),
			lastHeardMs: lastHeardAt === undefined ? undefined : Math.round(now - lastHeardAt),
		};
	}

	private async runRounds(): Promise<void> {
		const {clock, random} = this.options;
		const {signal} = this.controller;
		await clock.sleep(random.pickIndex(heartbeatIntervalMs), signal);
		while (!signal.aborted) {
			this.beginRound(clock.readMonotonic());
			await clock.sleep(random.spreadPause(heartbeatIntervalMs), signal);
		}
	}

	private beginRound(now: MonotonicMs): void {
		this.round += 1;
		this.advanceCounter();
		this.table.prune(now);
		const live = this.table.listLive(now);
		const known = new Set([this.options.identity.peerAddress, ...live.map(member => member.peerAddress)]);
		const candidates = [...this.listSeeds(), ...this.listed, ...this.table.listSilent(now).map(member => member.peerAddress)];
		const silentAddresses = [...new Set(candidates)].filter(address => !known.has(address));
		for (const address of chooseHeartbeatPeers({self: this.readSelf(), live, silentAddresses}, this.options.random)) {
			this.open(address).link.request();
		}

		this.closeIdleLinks();
	}

	private async runListReader(instanceList: InstanceList): Promise<void> {
		const {clock, random} = this.options;
		const {signal} = this.controller;
		while (!signal.aborted) {
			try {
				const items = await instanceList.read();
				this.listed = items.filter(item => item.role === 'entry').map(item => item.address);
			} catch {
				// The list only adds addresses to try; the last one read stays in use.
			}

			await clock.sleep(random.spreadPause(listIntervalMs), signal);
		}
	}

	private answer(heartbeat: Heartbeat): Heartbeat {
		this.merge(heartbeat);
		return this.createHeartbeat(heartbeat.sender.id);
	}

	private merge(heartbeat: Heartbeat): void {
		const now = this.options.clock.readMonotonic();
		this.lastHeardAt = now;
		for (const entry of [heartbeat.sender, ...heartbeat.sample]) {
			this.noteEntry(entry, now);
		}
	}

	private mergeEntry(entry: HeartbeatEntry, now: MonotonicMs): void {
		const before = this.table.find(entry.id);
		if (!this.table.merge(entry, now)) {
			return;
		}

		const isIncreasing = before === undefined || entry.incarnation >= before.incarnation;
		this.options.invariants.check('incarnationMonotonic', isIncreasing, `member ${entry.id}`);
		if (before?.incarnation !== entry.incarnation || before.state !== entry.state) {
			this.options.logger.info('member changed', {member: entry.id, incarnation: entry.incarnation, state: entry.state});
		}
	}

	/** Peers may remember a higher incarnation of this instance when the wall clock was set back between two starts. */
	private noteOwnEntry(entry: HeartbeatEntry): void {
		if (entry.incarnation > this.incarnation) {
			const next = createIncarnation(this.options.clock.readWall(), entry.incarnation);
			this.options.logger.warn('incarnation raised above a remembered one', {remembered: entry.incarnation, incarnation: next});
			this.options.invariants.check('incarnationMonotonic', next > this.incarnation, 'own incarnation');
			this.incarnation = next;
		}
	}

	private createHeartbeat(receiver?: InstanceId): Heartbeat {
		const now = this.options.clock.readMonotonic();
		const sender = {...this.readSelf(), counter: this.counter, ageMs: 0};
		return {sender, sample: this.table.pickSample(receiver, now)};
	}

	private advanceCounter(): void {
		const before = this.counter;
		this.counter += 1;
		this.options.invariants.check('heartbeatMonotonic', this.counter > before, `${before} to ${this.counter}`);
	}

	private listSeeds(): string[] {
		return this.options.seeds.filter(address => address !== this.options.identity.peerAddress);
	}

	private open(address: string): LinkRecord {
		let record = this.links.get(address);
		if (record === undefined) {
			const link = new HeartbeatLink({
				address,
				caller: this.options.caller,
				createHeartbeat: () => this.createHeartbeat(),
				onAnswer: heartbeat => {
					this.merge(heartbeat);
				},
				onFailure() {
					// A member that does not answer ages out of the live ones unless others hear it.
				},
			});
			record = {link, usedInRound: this.round};
			this.links.set(address, record);
			void link.run();
		}

		record.usedInRound = this.round;
		return record;
	}

	private closeIdleLinks(): void {
		for (const [address, record] of this.links) {
			if (this.round - record.usedInRound > idleRounds) {
				record.link.stop();
				this.links.delete(address);
			}
		}
	}
}
