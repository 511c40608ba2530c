/**
 * Brings accepted configurations in force. A few instances of each data centre watch the head in
 * the object API; all relay it to each other, so that calls of the object API do not grow with the
 * fleet. Only a greater revision is ever applied.
 */

import type {Clock} from '../../clock/clock/index.js';
import {Wakeup} from '../../clock/wakeup/index.js';
import type {InstanceId, MonotonicMs, Revision} from '../../identity/ids/index.js';
import {isInvariantError, type InvariantChecker} from '../../invariants/invariant-checker/index.js';
import type {ContactMonitor} from '../../keys/contact-monitor/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {noRevision} from '../../membership/membership/index.js';
import type {MemberView} from '../../membership/member/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {ObjectApi} from '../../store/object-api/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import {chooseAhead} from '../choose-ahead/index.js';
import {chooseAnnounced} from '../choose-announced/index.js';
import {collectOffers} from '../collect-offers/index.js';
import type {Configuration} from '../configuration/index.js';
import type {ConfigurationHead} from '../configuration-head/index.js';
import type {ConfigurationMetrics} from '../configuration-metrics/index.js';
import {describeConfiguration} from '../describe-configuration/index.js';
import {IsolatedConfiguration} from '../isolated-configuration/index.js';
import {
	PeerSource, StoreSource, peerTimeoutMs, type Offer, type PeerCall, type Source, type SourceKind,
} from '../offer/index.js';
import {PartCache, matchesHead} from '../part-cache/index.js';
import {announceMethod, parseAnnouncement} from '../peer-methods/index.js';
import {registerPeerMethods} from '../register-peer-methods/index.js';
import {RevisionLedger} from '../revision-ledger/index.js';
import {StoreWatcher} from '../store-watcher/index.js';

/** Time within which the highest revision heard is taken at the start, in milliseconds. */
const startWaitMs = 250;
const checkIntervalMs = 250;
const retryMs = 100;
/** Time for which a peer that failed to answer is left out, so that a lower revision of another peer is taken meanwhile. */
const failurePauseMs = 2000;
/** Peers asked at the start, besides the object API. */
const maximumAsked = 16;

/** What the follower needs. */
export type ConfigurationFollowerOptions = {
	readonly objectApi: ObjectApi;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly metrics: ConfigurationMetrics;
	readonly invariants: InvariantChecker;
	readonly contact: ContactMonitor;
	readonly members: MemberView;
	readonly peers: PeerCaller;
	readonly registry: PeerMethodRegistry;
	/** Peer addresses from the settings, asked while no member is known. */
	readonly seeds?: readonly string[];
	readonly callAddress?: (address: string, method: string, parameters: unknown, timeoutMs: number) => Promise<unknown>;
	/** Brings a configuration in force; called with growing revisions only. */
	readonly apply: (configuration: Configuration) => void;
};

type InForce = {readonly head: ConfigurationHead; readonly configuration: Configuration; isolated?: IsolatedConfiguration};

/** Follows the accepted configuration. One task runs `run`. */
export class ConfigurationFollower {
	private current: InForce | undefined;
	private readonly heard = new Map<InstanceId, Revision>();
	private readonly failedAt = new Map<InstanceId, MonotonicMs>();
	private readonly cache = new PartCache();
	private readonly ledger: RevisionLedger;
	private readonly wakeup = new Wakeup();
	private readonly store: StoreSource;
	private readonly watcher: StoreWatcher;

	constructor(private readonly options: ConfigurationFollowerOptions) {
		this.ledger = new RevisionLedger(options.invariants);
		this.store = new StoreSource(options.objectApi);
		this.watcher = new StoreWatcher({
			...options, cache: this.cache, onHead: head => {
				void this.adopt({head, source: this.store});
			},
		});
		registerPeerMethods(options.registry, {
			readHead: () => this.current?.head,
			findPart: hash => this.cache.find(hash),
			noteHeard: (peer, revision) => {
				this.noteHeard(peer, revision);
			},
			noteContact() {
				options.contact.notePeer(options.clock.readMonotonic());
			},
		});
	}

	/** Revision in force, -1 when there is none. */
	readRevision(): Revision {
		return this.current?.head.revision ?? noRevision;
	}

	/** The configuration in force; throws `notReady` without one. An isolated instance gets one that refuses all keys. */
	readConfiguration(): Configuration {
		const {current} = this;
		if (current === undefined) {
			throw createRouterError('notReady');
		}

		const isIsolated = this.options.contact.isIsolated(this.options.clock.readMonotonic());
		this.options.metrics.isolated.set(Number(isIsolated));
		if (!isIsolated) {
			return current.configuration;
		}

		current.isolated ??= new IsolatedConfiguration(current.configuration);
		return current.isolated;
	}

	/** Notes a peer's revision, for example from its heartbeat. */
	noteHeard(peer: InstanceId, revision: Revision): void {
		this.options.contact.notePeer(this.options.clock.readMonotonic());
		this.heard.set(peer, revision);
		if (revision > this.readRevision()) {
			this.wakeup.notify();
		}
	}

	/** Follows until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await this.takeHighest();
		await Promise.all([this.startLater(signal), this.followPeers(signal), this.watcher.run(signal)]);
	}

	/** State for people; without keys and hashes of keys. */
	dump(): unknown {
		const {current} = this;
		return {
			revision: this.readRevision(),
			contentHash: current?.head.contentHash,
			parts: this.cache.size,
			isWatching: this.watcher.isWatching,
			isIsolated: this.options.contact.isIsolated(this.options.clock.readMonotonic()),
			heard: Object.fromEntries(this.heard),
			...current && describeConfiguration(current.configuration),
		};
	}

	/** Asks the object API and peers at once and takes the highest revision heard within a short time. */
	private async takeHighest(): Promise<void> {
		const offers = await collectOffers(this.listSources(), this.options.clock, startWaitMs);
		for (const offer of offers) {
			if (await this.adopt(offer)) {
				return;
			}
		}
	}

	private async startLater(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		while (this.current === undefined && !signal.aborted) {
			await clock.sleep(random.spreadPause(retryMs), signal);
			await this.takeHighest();
		}
	}

	private listSources(): Source[] {
		const {members, clock, random, seeds = [], callAddress} = this.options;
		const self = members.readSelf();
		const ids = members.listLive(clock.readMonotonic()).map(member => member.id).filter(id => id !== self.id);
		const peers = random.pickSome(ids, maximumAsked).map(id => this.createPeerSource(id));
		const known = callAddress === undefined ? [] : random.pickSome(seeds.filter(address => address !== self.peerAddress), maximumAsked);
		const seedSources = known.map(address => new PeerSource(this.notingContact(async (...call) => callAddress!(address, ...call))));
		return [this.store, ...peers, ...seedSources];
	}

	/** Fetches from peers that are ahead, one after the other. */
	private async followPeers(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		while (!signal.aborted) {
			await this.wakeup.wait(clock, checkIntervalMs, signal);
			const peer = this.chooseAhead();
			if (peer === undefined || signal.aborted) {
				continue;
			}

			if (!await this.fetchFrom(peer)) {
				this.failedAt.set(peer, clock.readMonotonic());
				await clock.sleep(random.spreadPause(retryMs), signal);
			}

			this.wakeup.notify();
		}
	}

	/** Chooses among the peers with the highest revision, without those that failed lately. */
	private chooseAhead(): InstanceId | undefined {
		const {members, clock, random} = this.options;
		const now = clock.readMonotonic();
		const revisions = new Map(this.heard);
		for (const member of members.listLive(now)) {
			revisions.set(member.id, Math.max(member.revision, revisions.get(member.id) ?? noRevision) as Revision);
		}

		const usable = [...revisions].filter(([id]) => now - (this.failedAt.get(id) ?? Number.NEGATIVE_INFINITY) > failurePauseMs);
		return chooseAhead(new Map(usable), this.readRevision(), random);
	}

	private async fetchFrom(peer: InstanceId): Promise<boolean> {
		const source = this.createPeerSource(peer);
		try {
			const head = await source.readHead();
			return head !== undefined && await this.adopt({head, source});
		} catch (error) {
			this.noteFailure(error);
			this.options.logger.warn('configuration not fetched', {peer, reason: (error as Error).message});
			return false;
		}
	}

	/** Reads the missing parts of an offered head and brings it in force; returns whether its revision is in force now. */
	private async adopt({head, source}: Offer): Promise<boolean> {
		if (head.revision <= this.readRevision()) {
			return true;
		}

		try {
			const missing = this.cache.listMissing(head);
			if (missing.length > 0) {
				await source.readParts(missing, this.cache, this.options.clock);
			}

			return this.applyHead(head, source.kind);
		} catch (error) {
			this.noteFailure(error);
			this.options.logger.warn('configuration not applied', {revision: head.revision, source: source.kind, reason: (error as Error).message});
			return false;
		}
	}

	private applyHead(head: ConfigurationHead, source: SourceKind): boolean {
		const {clock, metrics, invariants, apply, logger} = this.options;
		// Another source may have been faster while the parts were on their way.
		if (head.revision <= this.readRevision()) {
			return true;
		}

		if (!this.ledger.record(head)) {
			return false;
		}

		const configuration = this.cache.build(head);
		invariants.check('contentMatchesHead', matchesHead(configuration, head), `revision ${head.revision} is not ${head.contentHash}`);
		invariants.check('revisionMonotonic', head.revision > this.readRevision(), `revision ${head.revision} after ${this.readRevision()}`);
		this.current = {head, configuration};
		this.cache.retain(head, clock.readMonotonic());
		apply(configuration);
		metrics.applied.inc({source});
		logger.info('configuration applied', {revision: head.revision, source});
		this.announce(head.revision);
		return true;
	}

	private announce(revision: Revision): void {
		const {members, clock, random, peers} = this.options;
		const view = {
			self: members.readSelf(), members: members.listLive(clock.readMonotonic()), revision,
			readRevision: (member: {id: InstanceId; revision: Revision}) => Math.max(member.revision, this.heard.get(member.id) ?? noRevision) as Revision,
		};
		for (const peer of chooseAnnounced(view, random)) {
			// A lost announcement does no harm: heartbeats carry the revision as well.
			void peers.call(peer, announceMethod, {revision}, peerTimeoutMs).then(answer => {
				this.noteHeard(peer, parseAnnouncement(answer).revision);
			}, () => undefined);
		}
	}

	/** Counts a failure of a source; a violated invariant is no such failure. */
	private noteFailure(error: unknown): void {
		if (isInvariantError(error)) {
			throw error;
		}

		this.options.metrics.fetchFailures.inc();
	}

	private createPeerSource(peer: InstanceId): PeerSource {
		return new PeerSource(this.notingContact(async (...call) => this.options.peers.call(peer, ...call)));
	}

	private notingContact(call: PeerCall): PeerCall {
		return async (...parameters) => {
			const answer = await call(...parameters);
			this.options.contact.notePeer(this.options.clock.readMonotonic());
			return answer;
		};
	}
}
