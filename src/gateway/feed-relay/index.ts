/**
 * Keeps the copies of the collections up to date among the instances. Watchers watch the object API
 * themselves, and take newer copies from others while it does not serve them. All other instances follow
 * the watchers, one after the other, so that one that hears nothing delays a change only until the next
 * one is asked.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, MonotonicMs, Revision} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {CollectionMirror, CollectionUpdate} from '../../store/collection-mirror/index.js';
import {hasWatchDuty, listWatchers} from '../watch-duty/index.js';

/** JSON-RPC method that returns collections newer than the caller's. */
export const readFeedsMethod = 'feeds.read';
const relayTimeoutMs = 400;
/** Interval in which a watcher checks whether other instances have newer copies, in milliseconds. */
const relayIntervalMs = 300;
/** Time for which a watcher holds a follower's question back until something changes, in milliseconds. */
const followWaitMs = 1000;
/** Pause of a follower after an update or a failed question, in milliseconds; changes that follow closely share an answer. */
const followPauseMs = 100;
/** Time without a watcher that hears the object API after which it counts as interrupted for a follower, in milliseconds. */
const followQuietMs = 2000;
/** Time for which an instance goes on watching that began it for lack of news, in milliseconds. */
const addedDutyMs = 10_000;
/** Silence of the object API after which other instances are asked, in milliseconds; longer than a watch waits. */
const watchQuietMs = 4500;

/** What the relay needs. */
export type FeedRelayOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly caller: PeerCaller;
	readonly registry: PeerMethodRegistry;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	/** Copies by collection. */
	readonly mirrors: ReadonlyMap<string, CollectionMirror>;
	/** Revision of the configuration in force, -1 for none. */
	readonly readRevision: () => Revision;
	/** Called regularly with whether the object API is interrupted for this instance. */
	readonly onState: (isInterrupted: boolean, now: MonotonicMs) => void;
};

/** Versions that the asking instance has, and how long it waits for newer ones. */
type FeedsQuestion = {readonly known: Readonly<Record<string, string>>; readonly waitMs: number};
/** `isInterrupted`: the answering instance does not hear the object API at present. */
type FeedsAnswer = {readonly updates: readonly CollectionUpdate[]; readonly isInterrupted: boolean};

/** This instance's part in the relay. */
export class FeedRelay {
	private watching: {readonly controller: AbortController; readonly ended: Promise<unknown>} | undefined;
	private addedDutyUntil = 0;
	/** When an instance that hears the object API answered last. */
	private soundAt: MonotonicMs;
	private questions = 0;
	private readonly waitingQuestions = new Set<() => void>();

	constructor(private readonly options: FeedRelayOptions) {
		this.soundAt = options.clock.readMonotonic();
		options.registry.register(readFeedsMethod, async parameters => this.answer(parameters as FeedsQuestion));
	}

	/** Watches or follows until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.setWatching(this.isWatcher(), signal);
			await (this.watching === undefined ? this.followNext(signal) : this.checkPeers(signal));
		}

		await this.setWatching(false, signal);
	}

	/** Answers the questions that wait for a change. */
	releaseQuestions(): void {
		for (const release of this.waitingQuestions) {
			release();
		}
	}

	dump() {
		return {isWatcher: this.watching !== undefined, soundMs: Math.round(this.options.clock.readMonotonic() - this.soundAt)};
	}

	private listLiveIds(): InstanceId[] {
		const peers = this.options.listPeers().filter(peer => peer.state === 'live');
		return [this.options.self, ...peers.map(peer => peer.id)];
	}

	private isWatcher(): boolean {
		const {self, clock} = this.options;
		const now = clock.readMonotonic();
		const live = this.listLiveIds();
		if (hasWatchDuty(self, live, 0) || now < this.addedDutyUntil) {
			return true;
		}

		if (!hasWatchDuty(self, live, now - this.soundAt)) {
			return false;
		}

		this.addedDutyUntil = now + addedDutyMs;
		return true;
	}

	/** Starts or ends the watches of this instance. */
	private async setWatching(isWanted: boolean, signal: AbortSignal): Promise<void> {
		if (isWanted === (this.watching !== undefined)) {
			return;
		}

		this.options.logger.info(isWanted ? 'watches of the object API started' : 'watches of the object API ended', {instances: this.listLiveIds().length});
		if (this.watching !== undefined) {
			this.watching.controller.abort();
			await this.watching.ended;
			this.watching = undefined;
			return;
		}

		const controller = new AbortController();
		signal.addEventListener('abort', () => {
			controller.abort();
		}, {once: true, signal: controller.signal});
		const ended = Promise.all([...this.options.mirrors.values()].map(async mirror => mirror.run(controller.signal)));
		this.watching = {controller, ended};
	}

	/** As a watcher: takes newer copies over from an instance that has them. */
	private async checkPeers(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		await clock.sleep(random.spreadPause(relayIntervalMs), signal);
		const now = clock.readMonotonic();
		this.noteState(now);
		const peer = this.choosePeer(now);
		if (peer !== undefined && !signal.aborted) {
			await this.askPeer(peer.id, 0);
		}
	}

	/** As a follower: asks the next watcher, and waits there for a change. */
	private async followNext(signal: AbortSignal): Promise<void> {
		const {clock, self} = this.options;
		const watchers = listWatchers(this.listLiveIds()).filter(id => id !== self);
		this.questions += 1;
		const watcher = watchers[this.questions % Math.max(1, watchers.length)];
		const mayAskAtOnce = watcher !== undefined && await this.askPeer(watcher, followWaitMs);
		this.noteState(clock.readMonotonic());
		if (!mayAskAtOnce) {
			await clock.sleep(followPauseMs, signal);
		}
	}

	private noteState(now: MonotonicMs): void {
		const isInterrupted = this.isInterrupted(now);
		if (!isInterrupted && this.watching !== undefined) {
			this.soundAt = now;
		}

		this.options.onState(isInterrupted, now);
	}

	private isInterrupted(now: MonotonicMs): boolean {
		return this.watching === undefined
			? now - this.soundAt > followQuietMs
			: [...this.options.mirrors.values()].some(mirror => mirror.isBroken || now - mirror.readHeardAt() > watchQuietMs);
	}

	/** An instance that has a later configuration, or any while the object API does not serve this one. */
	private choosePeer(now: MonotonicMs): Member | undefined {
		const peers = this.options.listPeers();
		const ahead = peers.filter(peer => peer.revision > this.options.readRevision());
		const candidates = ahead.length > 0 ? ahead : (this.isInterrupted(now) ? peers : []);
		return this.options.random.pickSome(candidates, 1)[0];
	}

	/** Asks another instance for newer copies. Returns whether the next question may follow at once: it had none, and has waited for them. */
	private async askPeer(peer: InstanceId, waitMs: number): Promise<boolean> {
		const {caller, clock, logger} = this.options;
		const known = Object.fromEntries([...this.options.mirrors].map(([collection, mirror]) => [collection, mirror.readVersion() ?? '']));
		const question: FeedsQuestion = {known, waitMs};
		try {
			const {updates, isInterrupted} = await caller.call<FeedsAnswer>(peer, readFeedsMethod, question, waitMs + relayTimeoutMs);
			if (!isInterrupted) {
				this.soundAt = clock.readMonotonic();
			}

			for (const update of updates) {
				if (this.options.mirrors.get(update.collection)?.adopt(update) === true) {
					logger.info('collection taken over from peer', {collection: update.collection, version: update.version, peer});
				}
			}

			return updates.length === 0;
		} catch (error) {
			logger.warn('peer did not pass collections on', {peer, reason: (error as Error).message});
			return false;
		}
	}

	/** Answers another instance, as soon as there is something that it lacks. */
	private async answer({known, waitMs}: FeedsQuestion): Promise<FeedsAnswer> {
		let updates = this.listUpdates(known);
		if (updates.length === 0 && waitMs > 0) {
			await this.waitForChange(waitMs);
			updates = this.listUpdates(known);
		}

		return {updates, isInterrupted: this.isInterrupted(this.options.clock.readMonotonic())};
	}

	private listUpdates(known: Readonly<Record<string, string>>): CollectionUpdate[] {
		const updates = [...this.options.mirrors].map(([collection, mirror]) => mirror.readUpdate(known[collection] === '' ? undefined : known[collection]));
		return updates.filter(update => update !== undefined);
	}

	private async waitForChange(waitMs: number): Promise<void> {
		const controller = new AbortController();
		const release = () => {
			controller.abort();
		};

		this.waitingQuestions.add(release);
		await this.options.clock.sleep(waitMs, controller.signal);
		this.waitingQuestions.delete(release);
	}
}
