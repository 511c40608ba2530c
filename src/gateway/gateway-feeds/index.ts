/**
 * What the gateway follows in the object API: configuration, targets, named weights and the registry of
 * instances. Watchers watch the object API itself, and take newer copies from others while it does not
 * serve them. All other instances follow the watchers, one after the other, so that one that hears
 * nothing delays a change only until the next one is asked.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, MonotonicMs, Revision} from '../../identity/ids/index.js';
import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import {CollectionMirror, type CollectionUpdate} from '../../store/collection-mirror/index.js';
import type {StoredObject} from '../../store/object-api/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {RoutingConfiguration} from '../../routing/routing-types/index.js';
import type {WeightsNotice, PlatformAdapter} from '../platform-adapter/index.js';
import {TargetRetention} from '../target-retention/index.js';
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
/** Silence after which a watch is replaced, in milliseconds. */
const watchSilenceMs = 5000;

/** What the feeds need. */
export type GatewayFeedsOptions = {
	readonly self: InstanceId;
	readonly adapter: PlatformAdapter;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly caller: PeerCaller;
	readonly registry: PeerMethodRegistry;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	readonly onConfiguration: (configuration: RoutingConfiguration) => void;
	readonly onTargets: (targets: readonly TargetDescription[]) => void;
	readonly onWeights: (weights: WeightsNotice) => void;
	readonly onInstances: (instances: readonly StoredObject[]) => void;
};

/** Versions that the asking instance has, and how long it waits for newer ones. */
type FeedsQuestion = {readonly known: Readonly<Record<string, string>>; readonly waitMs: number};
/** `isInterrupted`: the answering instance does not hear the object API at present. */
type FeedsAnswer = {readonly updates: readonly CollectionUpdate[]; readonly isInterrupted: boolean};

/** Followed collections. */
export class GatewayFeeds {
	private readonly mirrors = new Map<string, CollectionMirror>();
	private readonly retention = new TargetRetention();
	private revision = -1 as Revision;
	/** Names of entries that could not be decoded, so that each is logged once. */
	private readonly invalidEntries = new Set<string>();
	private watching: {readonly controller: AbortController; readonly ended: Promise<unknown>} | undefined;
	private addedDutyUntil = 0;
	/** When an instance that hears the object API answered last. */
	private soundAt: MonotonicMs;
	private questions = 0;
	private readonly changedCollections = new Set<string>();
	private readonly decodedTargets = new WeakMap<StoredObject, TargetDescription>();
	private readonly waitingQuestions = new Set<() => void>();

	constructor(private readonly options: GatewayFeedsOptions) {
		const {configuration, targets, weights, instances} = options.adapter.collections;
		this.soundAt = options.clock.readMonotonic();
		this.addMirror(configuration, () => {
			this.applyConfiguration();
		});
		this.addMirror(targets, () => {
			this.applyTargets();
		});
		this.addMirror(weights, () => {
			this.applyWeights();
		});
		this.addMirror(instances, () => {
			options.onInstances([...this.mirrors.get(instances)!.objects.values()]);
		});
		options.registry.register(readFeedsMethod, async parameters => this.answer(parameters as FeedsQuestion));
	}

	/** Revision of the configuration in force, -1 for none. */
	readRevision(): Revision {
		return this.revision;
	}

	/** Follows the collections until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.setWatching(this.isWatcher(), signal);
			await (this.watching === undefined ? this.followNext(signal) : this.checkPeers(signal));
		}

		await this.setWatching(false, signal);
	}

	dump(): unknown {
		const now = this.options.clock.readMonotonic();
		const collections = [...this.mirrors].map(([collection, mirror]) => ({
			collection, version: mirror.readVersion(), objects: mirror.objects.size, broken: mirror.isBroken, heardMs: Math.round(now - mirror.readHeardAt()),
		}));
		return {isWatcher: this.watching !== undefined, soundMs: Math.round(now - this.soundAt), collections};
	}

	private addMirror(collection: string, onChange: () => void): void {
		const {adapter, clock, logger, random} = this.options;
		this.mirrors.set(collection, new CollectionMirror({
			objectApi: adapter.objectApi, collection, clock, logger, random, silenceMs: watchSilenceMs, relistsAfterFault: true,
			onChange: () => {
				this.applyLater(collection, onChange);
			},
		}));
	}

	/** Applies changes that arrive together once. */
	private applyLater(collection: string, apply: () => void): void {
		if (this.changedCollections.has(collection)) {
			return;
		}

		this.changedCollections.add(collection);
		queueMicrotask(() => {
			this.changedCollections.delete(collection);
			apply();
			this.releaseQuestions();
		});
	}

	private applyConfiguration(): void {
		const {adapter, logger, onConfiguration} = this.options;
		for (const object of this.mirrors.get(adapter.collections.configuration)!.objects.values()) {
			try {
				const configuration = adapter.decodeConfiguration(object);
				if (configuration.revision > this.revision) {
					this.revision = configuration.revision;
					logger.info('configuration applied', {revision: configuration.revision, objectVersion: object.resourceVersion});
					onConfiguration(configuration);
				}
			} catch (error) {
				logger.error('configuration refused', {object: object.name, reason: (error as Error).message});
			}
		}
	}

	private applyTargets(): void {
		const {adapter, clock, onTargets} = this.options;
		const listed = new Map<string, TargetDescription>();
		for (const object of this.mirrors.get(adapter.collections.targets)!.objects.values()) {
			const description = this.decodeTarget(object);
			if (description !== undefined) {
				listed.set(object.name, description);
			}
		}

		onTargets([...this.retention.complete(listed, clock.readMonotonic()).values()]);
	}

	private decodeTarget(object: StoredObject): TargetDescription | undefined {
		const description = this.decodedTargets.get(object) ?? this.options.adapter.decodeTarget(object);
		if (description !== undefined) {
			this.decodedTargets.set(object, description);
		} else if (!this.invalidEntries.has(object.name)) {
			this.invalidEntries.add(object.name);
			this.options.logger.warn('target entry ignored', {entry: object.name, reason: 'fields are missing or not valid'});
		}

		return description;
	}

	private applyWeights(): void {
		const {adapter, logger, onWeights} = this.options;
		for (const object of this.mirrors.get(adapter.collections.weights)!.objects.values()) {
			const weights = adapter.decodeWeights(object);
			if (weights === undefined) {
				logger.warn('named weights ignored', {object: object.name, reason: 'fields are missing or not valid'});
			} else {
				onWeights(weights);
			}
		}
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
		const ended = Promise.all([...this.mirrors.values()].map(async mirror => mirror.run(controller.signal)));
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

		if (this.retention.noteState(isInterrupted, now)) {
			this.applyTargets();
		}
	}

	private isInterrupted(now: MonotonicMs): boolean {
		return this.watching === undefined
			? now - this.soundAt > followQuietMs
			: [...this.mirrors.values()].some(mirror => mirror.isBroken || now - mirror.readHeardAt() > watchQuietMs);
	}

	/** An instance that has a later configuration, or any while the object API does not serve this one. */
	private choosePeer(now: MonotonicMs): Member | undefined {
		const peers = this.options.listPeers();
		const ahead = peers.filter(peer => peer.revision > this.revision);
		const candidates = ahead.length > 0 ? ahead : (this.isInterrupted(now) ? peers : []);
		return this.options.random.pickSome(candidates, 1)[0];
	}

	/** Asks another instance for newer copies. Returns whether the next question may follow at once: it had none, and has waited for them. */
	private async askPeer(peer: InstanceId, waitMs: number): Promise<boolean> {
		const {caller, clock, logger} = this.options;
		const known = Object.fromEntries([...this.mirrors].map(([collection, mirror]) => [collection, mirror.readVersion() ?? '']));
		const question: FeedsQuestion = {known, waitMs};
		try {
			const {updates, isInterrupted} = await caller.call<FeedsAnswer>(peer, readFeedsMethod, question, waitMs + relayTimeoutMs);
			if (!isInterrupted) {
				this.soundAt = clock.readMonotonic();
			}

			for (const update of updates) {
				if (this.mirrors.get(update.collection)?.adopt(update) === true) {
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
		const updates = this.listUpdates(known);
		if (updates.length === 0 && waitMs > 0) {
			await this.waitForChange(waitMs);
		}

		return {updates: this.listUpdates(known), isInterrupted: this.isInterrupted(this.options.clock.readMonotonic())};
	}

	private listUpdates(known: Readonly<Record<string, string>>): CollectionUpdate[] {
		const updates = [...this.mirrors].map(([collection, mirror]) => mirror.readUpdate(known[collection] === '' ? undefined : known[collection]));
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

	private releaseQuestions(): void {
		for (const release of this.waitingQuestions) {
			release();
		}
	}
}
