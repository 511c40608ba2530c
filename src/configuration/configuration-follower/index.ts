/**
 * Applies accepted configurations. A few instances of each data centre watch the head in the object
 * API, and all instances relay it to each other, so that the load on the object API does not grow
 * with the fleet. A revision is applied only if it is higher than the current one.
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
import {chooseNewerPeer} from '../choose-newer-peer/index.js';
import {chooseAnnouncementPeers} from '../choose-announcement-peers/index.js';
import {collectHeads} from '../collect-heads/index.js';
import type {Configuration} from '../configuration/index.js';
import type {ConfigurationHead} from '../configuration-head/index.js';
import type {ConfigurationMetrics} from '../configuration-metrics/index.js';
import {describeConfiguration} from '../describe-configuration/index.js';
import {IsolatedConfiguration} from '../isolated-configuration/index.js';
import {
	PeerSource, StoreSource, peerCallTimeoutMs, type OfferedHead, type PeerCall, type ConfigurationSource, type SourceKind,
} from '../configuration-source/index.js';
import {PartCache, matchesHead} from '../part-cache/index.js';
import {announceMethod, parseAnnouncement} from '../peer-methods/index.js';
import {registerPeerMethods} from '../register-peer-methods/index.js';
import {RevisionLedger} from '../revision-ledger/index.js';
import {StoreWatcher} from '../store-watcher/index.js';

/** Maximum wait for heads at startup, before the highest revision is applied. */
const startupWaitMs = 250;
const peerCheckIntervalMs = 250;
const retryIntervalMs = 100;
/** Time for which a peer is skipped after a failed fetch, so that a lower revision can be fetched from another peer meanwhile. */
const failedPeerCooldownMs = 2000;
/** Limit on the live peers, and on the seed addresses, that are asked at startup besides the object API. */
const maximumStartupPeers = 16;

/** Options of the follower. */
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
	/** Peer addresses from the settings, asked besides the live members until a configuration is applied. */
	readonly seeds?: readonly string[];
	readonly callAddress?: (address: string, method: string, parameters: unknown, timeoutMs: number) => Promise<unknown>;
	/** Puts a configuration into effect; called with strictly increasing revisions. */
	readonly apply: (configuration: Configuration) => void;
};

type AppliedConfiguration = {readonly head: ConfigurationHead; readonly configuration: Configuration; isolated?: IsolatedConfiguration};

/** Follows the accepted configuration. Call `run` only once. */
export class ConfigurationFollower {
	private current: AppliedConfiguration | undefined;
	private readonly peerRevisions = new Map<InstanceId, Revision>();
	private readonly peerFailedAt = new Map<InstanceId, MonotonicMs>();
	private readonly partCache = new PartCache();
	private readonly revisionLedger: RevisionLedger;
	private readonly wakeup = new Wakeup();
	private readonly storeSource: StoreSource;
	private readonly storeWatcher: StoreWatcher;

	constructor(private readonly options: ConfigurationFollowerOptions) {
		this.revisionLedger = new RevisionLedger(options.invariants);
		this.storeSource = new StoreSource(options.objectApi);
		this.storeWatcher = new StoreWatcher({
			...options, cache: this.partCache, onHead: head => {
				void this.applyOffer({head, source: this.storeSource});
			},
		});
		registerPeerMethods(options.registry, {
			readHead: () => this.current?.head,
			findPart: hash => this.partCache.find(hash),
			recordPeerRevision: (peer, revision) => {
				this.recordPeerRevision(peer, revision);
			},
			recordPeerContact() {
				options.contact.recordPeerContact(options.clock.readMonotonic());
			},
		});
	}

	/** Returns the current revision, or -1 if there is none. */
	readRevision(): Revision {
		return this.current?.head.revision ?? noRevision;
	}

	/** Returns the current configuration, or one that refuses all keys while the instance is isolated. Throws `notReady` if there is none. */
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

	/** Records the revision that a peer has applied, which also counts as contact with a peer. */
	recordPeerRevision(peer: InstanceId, revision: Revision): void {
		this.options.contact.recordPeerContact(this.options.clock.readMonotonic());
		this.peerRevisions.set(peer, revision);
		if (revision > this.readRevision()) {
			this.wakeup.notify();
		}
	}

	/** Keeps the configuration up to date until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await this.applyHighestOffer();
		await Promise.all([this.retryStartup(signal), this.followPeers(signal), this.storeWatcher.run(signal)]);
	}

	/** Returns diagnostic state, without keys or key hashes. */
	dump(): unknown {
		const {current} = this;
		return {
			revision: this.readRevision(),
			contentHash: current?.head.contentHash,
			parts: this.partCache.size,
			isWatching: this.storeWatcher.isWatching,
			isIsolated: this.options.contact.isIsolated(this.options.clock.readMonotonic()),
			heard: Object.fromEntries(this.peerRevisions),
			...current && describeConfiguration(current.configuration),
		};
	}

	/** Asks the object API and peers in parallel and applies the highest revision offered within `startupWaitMs`, or the next lower if that fails. */
	private async applyHighestOffer(): Promise<void> {
		const offeredHeads = await collectHeads(this.listSources(), this.options.clock, startupWaitMs);
		for (const offeredHead of offeredHeads) {
			if (await this.applyOffer(offeredHead)) {
				return;
			}
		}
	}

	private async retryStartup(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		while (this.current === undefined && !signal.aborted) {
			await clock.sleep(random.applyJitter(retryIntervalMs), signal);
			await this.applyHighestOffer();
		}
	}

	private listSources(): ConfigurationSource[] {
		const {members, clock, random, seeds = [], callAddress} = this.options;
		const self = members.readSelf();
		const ids = members.listLive(clock.readMonotonic()).map(member => member.id).filter(id => id !== self.id);
		const peers = random.pickSome(ids, maximumStartupPeers).map(id => this.createPeerSource(id));
		const seedAddresses = callAddress === undefined ? [] : random.pickSome(seeds.filter(address => address !== self.peerAddress), maximumStartupPeers);
		const seedSources = seedAddresses.map(address => new PeerSource(this.recordContactOnAnswer(async (...call) => callAddress!(address, ...call))));
		return [this.storeSource, ...peers, ...seedSources];
	}

	/** Fetches newer configurations from peers, one peer at a time. */
	private async followPeers(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		while (!signal.aborted) {
			await this.wakeup.wait(clock, peerCheckIntervalMs, signal);
			const peer = this.chooseNewerPeer();
			if (peer === undefined || signal.aborted) {
				continue;
			}

			if (!await this.fetchFrom(peer)) {
				this.peerFailedAt.set(peer, clock.readMonotonic());
				await clock.sleep(random.applyJitter(retryIntervalMs), signal);
			}

			this.wakeup.notify();
		}
	}

	/** Chooses a peer with the highest revision among those that are not in cooldown after a failed fetch. */
	private chooseNewerPeer(): InstanceId | undefined {
		const {members, clock, random} = this.options;
		const now = clock.readMonotonic();
		const revisions = new Map(this.peerRevisions);
		for (const member of members.listLive(now)) {
			revisions.set(member.id, Math.max(member.revision, revisions.get(member.id) ?? noRevision) as Revision);
		}

		const candidates = [...revisions].filter(([id]) => now - (this.peerFailedAt.get(id) ?? Number.NEGATIVE_INFINITY) > failedPeerCooldownMs);
		return chooseNewerPeer(new Map(candidates), this.readRevision(), random);
	}

	private async fetchFrom(peer: InstanceId): Promise<boolean> {
		const source = this.createPeerSource(peer);
		try {
			const head = await source.readHead();
			return head !== undefined && await this.applyOffer({head, source});
		} catch (error) {
			this.countFetchFailure(error);
			this.options.logger.warn('configuration not fetched', {peer, reason: (error as Error).message});
			return false;
		}
	}

	/** Reads the missing parts of an offered head and applies it. Returns whether the current revision is now at least the offered one. */
	private async applyOffer({head, source}: OfferedHead): Promise<boolean> {
		if (head.revision <= this.readRevision()) {
			return true;
		}

		try {
			const missing = this.partCache.listMissing(head);
			if (missing.length > 0) {
				await source.readParts(missing, this.partCache, this.options.clock);
			}

			return this.applyHead(head, source.kind);
		} catch (error) {
			this.countFetchFailure(error);
			this.options.logger.warn('configuration not applied', {revision: head.revision, source: source.kind, reason: (error as Error).message});
			return false;
		}
	}

	private applyHead(head: ConfigurationHead, source: SourceKind): boolean {
		const {clock, metrics, invariants, apply, logger} = this.options;
		// A head from another source may have been applied while the parts were being read.
		if (head.revision <= this.readRevision()) {
			return true;
		}

		if (!this.revisionLedger.record(head)) {
			return false;
		}

		const configuration = this.partCache.build(head);
		invariants.check('contentMatchesHead', matchesHead(configuration, head), `revision ${head.revision} is not ${head.contentHash}`);
		invariants.check('revisionMonotonic', head.revision > this.readRevision(), `revision ${head.revision} after ${this.readRevision()}`);
		this.current = {head, configuration};
		this.partCache.evictUnreferenced(head, clock.readMonotonic());
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
			readRevision: (member: {id: InstanceId; revision: Revision}) =>
				Math.max(member.revision, this.peerRevisions.get(member.id) ?? noRevision) as Revision,
		};
		for (const peer of chooseAnnouncementPeers(view, random)) {
			// A lost announcement is harmless, because heartbeats carry the revision as well.
			void peers.call(peer, announceMethod, {revision}, peerCallTimeoutMs).then(answer => {
				this.recordPeerRevision(peer, parseAnnouncement(answer).revision);
			}, () => undefined);
		}
	}

	/** Counts a failed fetch. Rethrows a violated invariant, which is not a fetch failure. */
	private countFetchFailure(error: unknown): void {
		if (isInvariantError(error)) {
			throw error;
		}

		this.options.metrics.fetchFailures.inc();
	}

	private createPeerSource(peer: InstanceId): PeerSource {
		return new PeerSource(this.recordContactOnAnswer(async (...call) => this.options.peers.call(peer, ...call)));
	}

	/** Wraps `call` so that each answer counts as contact with a peer. */
	private recordContactOnAnswer(call: PeerCall): PeerCall {
		return async (...parameters) => {
			const answer = await call(...parameters);
			this.options.contact.recordPeerContact(this.options.clock.readMonotonic());
			return answer;
		};
	}
}
