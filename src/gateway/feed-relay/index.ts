/**
 * Keeps the mirrors of the collections up to date across the instances. Watchers watch the object API
 * themselves, and fetch newer copies from peers while it is unavailable to them. All other instances are
 * followers, which poll the watchers round robin: a watcher whose watch is silent delays a change only
 * until the next watcher is polled.
 */

import {setMaxListeners} from 'node:events';
import type {Clock} from '../../clock/clock/index.js';
import {readInstant} from '../../clock/instant/index.js';
import type {InstanceId, MonotonicMs, Revision} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {CollectionMirror, CollectionUpdate} from '../../store/collection-mirror/index.js';
import type {ConfirmedVersion, RevisionTimeline} from '../../store/revision-timeline/index.js';
import {isWatcher, listWatchers, smallFleetSize} from '../list-watchers/index.js';

/** JSON-RPC method that returns the collections that are newer than the caller's copies. */
export const readFeedsMethod = 'feeds.read';
/** Timeout of a call to a peer, in addition to the time that the peer may hold it back, in milliseconds. */
const peerCallTimeoutMs = 400;
/** Interval at which a watcher checks whether peers have newer copies, in milliseconds. */
const peerCheckIntervalMs = 300;
/** Number of confirmed versions in a response. */
const maximumConfirmedVersions = 8;
/** Maximum time for which a watcher holds a follower's request until a collection changes, in milliseconds. */
const longPollTimeoutMs = 1000;
/** Time for which a watcher that is cut off from the object API is polled only if all others are as well, in milliseconds. */
const interruptedWatcherPauseMs = 2000;
/** Time after the start in which an instance that is no seed watches only if its peers make it a watcher, in milliseconds. */
const startupSettleMs = 1500;
/** Pause of a follower after an update or a failed request, in milliseconds; changes in quick succession share a response. */
const pollPauseMs = 250;
/** Time without a response from a healthy watcher after which a follower considers the object API interrupted, in milliseconds. */
const followerSilenceLimitMs = 2000;
/** Time for which an additional watcher, started because no watcher was healthy, keeps watching, in milliseconds. */
const additionalWatchMs = 10_000;
/**
 * Silence of a watch after which a watcher considers the object API interrupted and asks its peers, in
 * milliseconds; longer than a watch call waits for changes.
 */
const watcherSilenceLimitMs = 4500;

/** Listeners that a mirror adds to the signal of its watch: one for its run, and one for its pause after a failure. */
const listenersPerMirror = 2;

/** Options of the feed relay. */
export type FeedRelayOptions = {
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
	/** Mirrors by collection name. */
	readonly mirrors: ReadonlyMap<string, CollectionMirror>;
	/** Versions that the object API is known to have had; peers pass theirs on with their copies. */
	readonly timeline: RevisionTimeline;
	/** Returns the revision of the configuration in force; -1 if there is none. */
	readonly readRevision: () => Revision;
	/** Called after each check of whether the object API is interrupted for this instance. */
	readonly onInterruptionCheck: (isInterrupted: boolean, now: MonotonicMs) => void;
};

/** `known`: version of each collection that the requesting instance has; `waitMs`: maximum time to wait for newer ones. */
type FeedsRequest = {readonly known: Readonly<Record<string, string>>; readonly waitMs: number};
/**
 * `isInterrupted`: whether the object API is currently interrupted for the responding instance. `confirmed`: versions
 * that the object API is known to have had; instances of earlier releases don't send it.
 */
type FeedsResponse = {readonly updates: readonly CollectionUpdate[]; readonly isInterrupted: boolean; readonly confirmed?: readonly ConfirmedVersion[]};

/** Watches or follows the collections on one instance, and serves copies of them to its peers. */
export class FeedRelay {
	private activeWatch: {readonly controller: AbortController; readonly ended: Promise<unknown>} | undefined;
	private additionalWatchUntil = 0;
	/** When this instance last had contact with the object API, directly or through a peer for which it was available. */
	private lastHealthyAt: MonotonicMs;
	/** When a regular watcher was last healthy; additional ones do not count, so that they are polled until then. */
	private regularHealthyAt: MonotonicMs;
	private readonly startedAt: MonotonicMs;
	private readonly interruptedUntil = new Map<InstanceId, number>();
	private pollCount = 0;
	private readonly waitingRequests = new Set<() => void>();

	constructor(private readonly options: FeedRelayOptions) {
		this.startedAt = options.clock.readMonotonic();
		this.lastHealthyAt = this.startedAt;
		this.regularHealthyAt = this.startedAt;
		options.registry.register(readFeedsMethod, async parameters => this.answer(parameters as FeedsRequest));
	}

	/** Runs as a watcher or a follower until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.setWatching(this.shouldWatch(), signal);
			await (this.activeWatch === undefined ? this.pollNextWatcher(signal) : this.checkPeers(signal));
		}

		await this.setWatching(false, signal);
	}

	/** Responds to the requests that are waiting for a change or an interruption. */
	answerWaitingRequests(): void {
		for (const release of this.waitingRequests) {
			release();
		}
	}

	dump() {
		return {isWatcher: this.activeWatch !== undefined, soundMs: Math.round(this.options.clock.readMonotonic() - this.lastHealthyAt)};
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

		if (isWatcher(self, live, 0) || now < this.additionalWatchUntil) {
			return true;
		}

		if (!isWatcher(self, live, now - this.regularHealthyAt)) {
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
			await this.fetchFromPeer(peer.id, 0);
		}
	}

	/** As a follower: long-polls the next watcher for changes. */
	private async pollNextWatcher(signal: AbortSignal): Promise<void> {
		const {clock} = this.options;
		const watchers = this.listPolledWatchers(clock.readMonotonic());
		this.pollCount += 1;
		const watcher = watchers[this.pollCount % Math.max(1, watchers.length)];
		const canPollImmediately = watcher !== undefined && await this.fetchFromPeer(watcher, longPollTimeoutMs);
		this.reportInterruption(clock.readMonotonic());
		if (!canPollImmediately) {
			await clock.sleep(pollPauseMs, signal);
		}
	}

	/** Lists the watchers that a follower polls by turns: those that are not cut off from the object API, as far as it knows. */
	private listPolledWatchers(now: MonotonicMs): InstanceId[] {
		const watchers = listWatchers(this.listLiveIds(), now - this.regularHealthyAt).filter(id => id !== this.options.self);
		const connected = watchers.filter(id => now >= (this.interruptedUntil.get(id) ?? 0));
		return connected.length > 0 ? connected : watchers;
	}

	private reportInterruption(now: MonotonicMs): void {
		const isInterrupted = this.isInterrupted(now);
		if (!isInterrupted && this.activeWatch !== undefined) {
			this.lastHealthyAt = now;
			this.regularHealthyAt = now;
		}

		this.options.onInterruptionCheck(isInterrupted, now);
	}

	private isInterrupted(now: MonotonicMs): boolean {
		return this.activeWatch === undefined
			? now - this.lastHealthyAt > followerSilenceLimitMs
			: [...this.options.mirrors.values()].some(mirror => mirror.isBroken || now - mirror.readHeardAt() > watcherSilenceLimitMs);
	}

	/** Chooses a peer with a later configuration, or any peer while the object API is interrupted for this instance. */
	private choosePeer(now: MonotonicMs): Member | undefined {
		const peers = this.options.listPeers();
		const aheadPeers = peers.filter(peer => peer.revision > this.options.readRevision());
		const candidates = aheadPeers.length > 0 ? aheadPeers : (this.isInterrupted(now) ? peers : []);
		return this.options.random.pickSome(candidates, 1)[0];
	}

	/** Fetches newer copies from a peer. Returns whether the next poll may follow immediately: the peer waited for newer copies and had none. */
	private async fetchFromPeer(peer: InstanceId, waitMs: number): Promise<boolean> {
		const {caller, clock, logger, timeline} = this.options;
		const sentAt = readInstant(clock);
		const known = Object.fromEntries([...this.options.mirrors].map(([collection, mirror]) => [collection, mirror.readVersion() ?? '']));
		const request: FeedsRequest = {known, waitMs};
		try {
			const {updates, isInterrupted, confirmed = []} = await caller.call<FeedsResponse>(peer, readFeedsMethod, request, waitMs + peerCallTimeoutMs);
			timeline.recordConfirmed(confirmed, sentAt);
			this.recordContact(peer, isInterrupted);
			for (const update of updates) {
				if (this.options.mirrors.get(update.collection)?.applyUpdate(update) === true) {
					logger.info('collection taken over from peer', {collection: update.collection, version: update.version, peer});
				}
			}

			return !isInterrupted && updates.length === 0;
		} catch (error) {
			logger.warn('peer did not pass collections on', {peer, reason: (error as Error).message});
			return false;
		}
	}

	/** Records whether a peer that answered is cut off from the object API. */
	private recordContact(peer: InstanceId, isInterrupted: boolean): void {
		const now = this.options.clock.readMonotonic();
		if (isInterrupted) {
			this.interruptedUntil.set(peer, now + interruptedWatcherPauseMs);
			return;
		}

		this.interruptedUntil.delete(peer);
		this.lastHealthyAt = now;
		if (listWatchers(this.listLiveIds()).includes(peer)) {
			this.regularHealthyAt = now;
		}
	}

	/** Responds to a peer as soon as there are newer copies, without any after `waitMs`, or at once while the object API is interrupted. */
	private async answer({known: knownVersions, waitMs}: FeedsRequest): Promise<FeedsResponse> {
		let updates = this.listUpdates(knownVersions);
		if (updates.length === 0 && waitMs > 0 && !this.isInterrupted(this.options.clock.readMonotonic())) {
			await this.waitForChange(waitMs);
			updates = this.listUpdates(knownVersions);
		}

		const {clock, timeline} = this.options;
		return {
			updates, isInterrupted: this.isInterrupted(clock.readMonotonic()), confirmed: timeline.listRecent(maximumConfirmedVersions, readInstant(clock)),
		};
	}

	private listUpdates(versions: Readonly<Record<string, string>>): CollectionUpdate[] {
		const updates = [...this.options.mirrors].map(([collection, mirror]) => mirror.readUpdate(versions[collection] === '' ? undefined : versions[collection]));
		return updates.filter(update => update !== undefined);
	}

	private async waitForChange(waitMs: number): Promise<void> {
		const controller = new AbortController();
		const release = () => {
			controller.abort();
		};

		this.waitingRequests.add(release);
		await this.options.clock.sleep(waitMs, controller.signal);
		this.waitingRequests.delete(release);
	}
}
