/**
 * Keeps the mirrors of the collections up to date across the instances. Watchers watch the object API
 * themselves, and fetch newer copies from peers while it is unavailable to them. All other instances are
 * followers, which poll the watchers (`FeedPoller`). All of them answer peers (`FeedAnswerer`).
 */

import {setMaxListeners} from 'node:events';
import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, MonotonicMs, Revision} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {CollectionMirror} from '../../store/collection-mirror/index.js';
import type {RevisionTimeline} from '../../store/revision-timeline/index.js';
import {FeedAnswerer} from '../feed-answerer/index.js';
import {FeedHealth} from '../feed-health/index.js';
import {readFeedsMethod, type FeedsRequest} from '../feed-messages/index.js';
import {FeedPoller} from '../feed-poller/index.js';
import {listWatchers, smallFleetSize} from '../list-watchers/index.js';

/** Interval at which a watcher checks whether peers have newer copies, in milliseconds. */
const peerCheckIntervalMs = 300;
/** Time after the start in which an instance that is no seed watches only if its peers make it a watcher, in milliseconds. */
const startupSettleMs = 1500;
/** Time for which an additional watcher, started because no watcher was healthy, keeps watching, in milliseconds. */
const additionalWatchMs = 10_000;

/** Listeners that a mirror adds to the signal of its watch: one for its run, and one for its pause after a failure. */
const listenersPerMirror = 2;

/** What a feed relay needs to know of its instance and its peers. */
export type FeedEnvironment = {
	readonly self: InstanceId;
	/** Whether other instances know this one before they have started. */
	readonly isSeed: boolean;
	/** Whether calls have been refused for want of a configuration. */
	readonly isConfigurationMissed: () => boolean;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly caller: PeerCaller;
	readonly registry: PeerMethodRegistry;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
};

/** Options of the feed relay. */
export type FeedRelayOptions = FeedEnvironment & {
	/** Mirrors by collection name. */
	readonly mirrors: ReadonlyMap<string, CollectionMirror>;
	/** Versions that the object API is known to have had; peers pass theirs on with their copies. */
	readonly timeline: RevisionTimeline;
	/** Returns the revision of the configuration in force; -1 if there is none. */
	readonly readRevision: () => Revision;
	/** Called after each check of whether the object API is interrupted for this instance. */
	readonly onInterruptionCheck: (isInterrupted: boolean, now: MonotonicMs) => void;
};

/** Watches or follows the collections on one instance, and serves copies of them to its peers. */
export class FeedRelay {
	private activeWatch: {readonly controller: AbortController; readonly ended: Promise<unknown>} | undefined;
	private additionalWatchUntil = 0;
	private readonly startedAt: MonotonicMs;
	private readonly health: FeedHealth;
	private readonly poller: FeedPoller;
	private readonly answerer: FeedAnswerer;

	constructor(private readonly options: FeedRelayOptions) {
		this.startedAt = options.clock.readMonotonic();
		this.health = new FeedHealth(options.mirrors, this.startedAt);
		this.poller = new FeedPoller({...options, health: this.health, listLiveIds: () => this.listLiveIds()});
		this.answerer = new FeedAnswerer({...options, health: this.health});
		options.registry.register(readFeedsMethod, async (parameters, from) => this.answerer.answer(parameters as FeedsRequest, from));
	}

	/** Runs as a watcher or a follower until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.setWatching(this.shouldWatch(), signal);
			await (this.activeWatch === undefined ? this.followWatchers(signal) : this.checkPeers(signal));
		}

		await this.setWatching(false, signal);
	}

	/** Responds to the requests that are waiting for a change or an interruption. */
	answerWaitingRequests(): void {
		this.answerer.answerWaitingRequests();
	}

	dump() {
		return {isWatcher: this.activeWatch !== undefined, soundMs: Math.round(this.health.measureContactAgeMs(this.options.clock.readMonotonic()))};
	}

	private listLiveIds(): InstanceId[] {
		const peers = this.options.listPeers().filter(peer => peer.state === 'live');
		return [this.options.self, ...peers.map(peer => peer.id)];
	}

	private shouldWatch(): boolean {
		const {self, clock} = this.options;
		const now = clock.readMonotonic();
		const live = this.listLiveIds();
		if (this.isSettling(live.length, now)) {
			return false;
		}

		if (listWatchers(live).includes(self) || now < this.additionalWatchUntil) {
			return true;
		}

		if (!this.poller.listWatchers(now).includes(self)) {
			return false;
		}

		this.additionalWatchUntil = now + additionalWatchMs;
		return true;
	}

	/**
	 * Whether it is too early to tell whether this instance is a watcher. When a large fleet starts, each instance knows
	 * only a few others for a moment, and would watch as in a small fleet. An instance that callers already use does not
	 * wait: after a restart of all instances, its peers have no configuration either.
	 */
	private isSettling(liveCount: number, now: MonotonicMs): boolean {
		const {isSeed, isConfigurationMissed} = this.options;
		return !isSeed && !isConfigurationMissed() && liveCount <= smallFleetSize && now - this.startedAt < startupSettleMs;
	}

	/** Starts or stops the watches of this instance. */
	private async setWatching(isWanted: boolean, signal: AbortSignal): Promise<void> {
		if (isWanted === (this.activeWatch !== undefined)) {
			return;
		}

		this.health.setWatching(isWanted, this.options.clock.readMonotonic());
		this.options.logger.info(isWanted ? 'watches of the object API started' : 'watches of the object API ended', {instances: this.listLiveIds().length});
		if (this.activeWatch !== undefined) {
			this.activeWatch.controller.abort();
			await this.activeWatch.ended;
			this.activeWatch = undefined;
			return;
		}

		const controller = new AbortController();
		setMaxListeners((this.options.mirrors.size * listenersPerMirror) + 1, controller.signal);
		signal.addEventListener('abort', () => {
			controller.abort();
		}, {once: true, signal: controller.signal});
		const ended = Promise.all([...this.options.mirrors.values()].map(async mirror => mirror.run(controller.signal)));
		this.activeWatch = {controller, ended};
	}

	/** As a watcher: fetches newer copies from a peer that may have them. */
	private async checkPeers(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		await clock.sleep(random.applyJitter(peerCheckIntervalMs), signal);
		const now = clock.readMonotonic();
		this.reportInterruption(now);
		const peer = this.choosePeer(now);
		if (peer !== undefined && !signal.aborted) {
			await this.poller.fetchFromPeer(peer.id);
		}
	}

	/** As a follower: polls the next watcher. */
	private async followWatchers(signal: AbortSignal): Promise<void> {
		await this.poller.pollNextWatcher(signal);
		this.reportInterruption(this.options.clock.readMonotonic());
	}

	private reportInterruption(now: MonotonicMs): void {
		this.health.recordWatches(now);
		this.options.onInterruptionCheck(this.health.isInterrupted(now), now);
	}

	/** Chooses a peer with a later configuration, or any peer while the object API is interrupted for this instance. */
	private choosePeer(now: MonotonicMs): Member | undefined {
		const peers = this.options.listPeers();
		const aheadPeers = peers.filter(peer => peer.revision > this.options.readRevision());
		const candidates = aheadPeers.length > 0 ? aheadPeers : (this.health.isInterrupted(now) ? peers : []);
		return this.options.random.pickSome(candidates, 1)[0];
	}
}
