/**
 * A copy of one collection, kept up to date by a watch. A watch that breaks or goes silent is
 * replaced after a pause with jitter; one whose version has expired starts from a new list.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {MonotonicMs, ResourceVersion} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {
	ObjectApiError, type ObjectApi, type StoredObject, type WatchEvent,
} from '../object-api/index.js';
import {isLaterVersion} from '../is-later-version/index.js';
import {RemovalLog} from '../removal-log/index.js';

/** The object API sends a bookmark at least every second, so that this much silence means a dead connection. */
export const watchSilenceMs = 2500;
const checksPerSilence = 10;
/** Least distance between two checks for silence, in milliseconds; each check wakes the process. */
const shortestCheckMs = 250;
const firstPauseMs = 50;
const longestPauseMs = 2000;
const jitterSteps = 1000;

/** What a mirror needs. */
export type CollectionMirrorOptions = {
	readonly objectApi: ObjectApi;
	readonly collection: string;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	/** Called after each list and each change. */
	readonly onChange: () => void;
	/** Called whenever the object API was heard, a bookmark included. */
	readonly onHeard?: (now: MonotonicMs) => void;
	/** Called when a watch is replaced, for metrics. */
	readonly onReplaced?: (collection: string) => void;
	/** Silence after which a watch counts as dead, in milliseconds; `watchSilenceMs` by default. */
	readonly silenceMs?: number;
	/**
	 * Whether the collection is listed anew after each broken watch. Needed where a watch that continues from
	 * an old version may wait for its whole time although changes were dropped in between.
	 */
	readonly relistsAfterFault?: boolean;
};

/** Content of a collection for a holder of an older copy. */
export type CollectionUpdate = {
	readonly collection: string;
	/** Version of the copy after this update. */
	readonly version: string;
	/** Whether `objects` is the whole collection; otherwise it holds what changed. */
	readonly isComplete: boolean;
	readonly objects: readonly StoredObject[];
	/** Names of the objects that were removed; empty in a complete update. */
	readonly removed: readonly string[];
};

type Waiter = {readonly resolve: () => void; readonly reject: (error: Error) => void};

/** Copy of a collection. One task runs `run` until its signal aborts. */
export class CollectionMirror<Value = unknown> {
	readonly objects = new Map<string, StoredObject<Value>>();
	/** Whether `objects` has been read at least once. */
	isSynced = false;
	private version: ResourceVersion | undefined;
	private needsList = true;
	/** Whether nothing has been heard since the last fault. */
	private isFaulty = false;
	private heardAt: MonotonicMs;
	private failures = 0;
	private waiters: Waiter[] = [];
	private watchController = new AbortController();
	private readonly removals = new RemovalLog();

	constructor(private readonly options: CollectionMirrorOptions) {
		this.heardAt = options.clock.readMonotonic();
	}

	/** Keeps the copy up to date until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const stop = () => {
			this.watchController.abort();
			this.rejectWaiters(new Error('the mirror was stopped'));
		};

		signal.addEventListener('abort', stop, {once: true});
		while (!signal.aborted) {
			try {
				if (this.needsList || this.waiters.length > 0) {
					await this.load();
				}

				await this.follow(signal);
			} catch (error) {
				await this.pause(error as Error, signal);
			}
		}

		signal.removeEventListener('abort', stop);
	}

	/** Version that `objects` has; undefined before the first list. */
	readVersion(): ResourceVersion | undefined {
		return this.version;
	}

	/** When the object API was last heard. */
	readHeardAt(): MonotonicMs {
		return this.heardAt;
	}

	/** Whether the watch is broken at present. */
	get isBroken(): boolean {
		return !this.isSynced || this.isFaulty;
	}

	/** Takes over what another instance has; the watch goes on from there. Returns whether it was newer. */
	adopt({version, isComplete, objects, removed}: CollectionUpdate): boolean {
		if (!isLaterVersion(version, this.version)) {
			return false;
		}

		if (isComplete) {
			this.replaceAll(objects as ReadonlyArray<StoredObject<Value>>, version as ResourceVersion);
		} else {
			for (const name of removed) {
				this.objects.delete(name);
				this.removals.add(name);
			}

			for (const object of objects) {
				this.objects.set(object.name, object as StoredObject<Value>);
			}

			this.setVersion(version as ResourceVersion);
		}

		this.isSynced = true;
		this.options.onChange();
		this.watchController.abort();
		return true;
	}

	/** Reads what a holder of version `since` lacks; undefined when that is nothing. */
	readUpdate(since: string | undefined): CollectionUpdate | undefined {
		const {version, removals} = this;
		if (version === undefined || !isLaterVersion(version, since)) {
			return undefined;
		}

		const {collection} = this.options;
		const removed = since === undefined ? undefined : removals.listSince(since);
		if (removed === undefined) {
			return {
				collection, version, isComplete: true, objects: [...this.objects.values()], removed: [],
			};
		}

		const objects = [...this.objects.values()].filter(object => isLaterVersion(object.resourceVersion, since));
		return objects.length === 0 && removed.length === 0
			? undefined
			: {
				collection, version, isComplete: false, objects, removed,
			};
	}

	/** Reads the collection anew. When this resolves, `objects` is at least as new as the call of this method. */
	async refresh(): Promise<void> {
		const done = new Promise<void>((resolve, reject) => {
			this.waiters.push({resolve, reject});
		});
		this.watchController.abort();
		return done;
	}

	private async load(): Promise<void> {
		const {waiters} = this;
		this.waiters = [];
		try {
			const list = await this.options.objectApi.list<Value>(this.options.collection);
			this.replaceAll(list.items, list.resourceVersion);
			this.needsList = false;
			this.isSynced = true;
			this.markHeard();
			this.options.onChange();
			for (const waiter of waiters) {
				waiter.resolve();
			}
		} catch (error) {
			for (const waiter of waiters) {
				waiter.reject(error as Error);
			}

			throw error;
		}
	}

	/** Follows a watch until it is aborted; rejects when it breaks or goes silent. */
	private async follow(signal: AbortSignal): Promise<void> {
		const controller = new AbortController();
		this.watchController = controller;
		this.heardAt = this.options.clock.readMonotonic();
		if (this.waiters.length > 0 || signal.aborted) {
			return;
		}

		let fault: Error | undefined;
		const subscription = this.options.objectApi.watch<Value>(this.options.collection, this.version!).subscribe({
			next: event => {
				if (!controller.signal.aborted) {
					this.applyEvent(event);
				}
			},
			error(error: Error) {
				fault = error;
				controller.abort();
			},
			complete() {
				fault = new ObjectApiError('unavailable', 'the watch has ended');
				controller.abort();
			},
		});
		try {
			await this.waitForSilence(controller.signal);
		} finally {
			controller.abort();
			subscription.unsubscribe();
		}

		if (fault !== undefined) {
			throw fault;
		}
	}

	private async waitForSilence(signal: AbortSignal): Promise<void> {
		const {clock, silenceMs = watchSilenceMs} = this.options;
		while (!signal.aborted) {
			const silentMs = clock.readMonotonic() - this.heardAt;
			if (silentMs > silenceMs) {
				throw new ObjectApiError('unavailable', `the watch has been silent for ${Math.round(silentMs)} ms`);
			}

			await clock.sleep(Math.max(shortestCheckMs, silenceMs / checksPerSilence), signal);
		}
	}

	private applyEvent(event: WatchEvent<Value>): void {
		this.markHeard();
		this.failures = 0;
		if (event.type === 'bookmark') {
			this.setVersion(event.resourceVersion);
			return;
		}

		if (isLaterVersion(event.object.resourceVersion, this.version)) {
			this.setVersion(event.object.resourceVersion);
		}

		if (event.type === 'deleted') {
			this.objects.delete(event.object.name);
			this.removals.add(event.object.name);
		} else {
			this.objects.set(event.object.name, event.object);
		}

		this.options.onChange();
	}

	/** Replaces the whole copy and notes which objects that removes. */
	private replaceAll(objects: ReadonlyArray<StoredObject<Value>>, version: ResourceVersion): void {
		const kept = new Set(objects.map(object => object.name));
		for (const name of this.objects.keys()) {
			if (!kept.has(name)) {
				this.removals.add(name);
			}
		}

		this.objects.clear();
		for (const object of objects) {
			this.objects.set(object.name, object);
		}

		this.setVersion(version);
	}

	private setVersion(version: ResourceVersion): void {
		this.version = version;
		this.removals.setVersion(version);
	}

	private markHeard(): void {
		this.heardAt = this.options.clock.readMonotonic();
		this.isFaulty = false;
		this.options.onHeard?.(this.heardAt);
	}

	private async pause(error: Error, signal: AbortSignal): Promise<void> {
		const {collection, clock, logger, random, onReplaced, relistsAfterFault = false} = this.options;
		if (relistsAfterFault || (error instanceof ObjectApiError && error.failure === 'expired')) {
			this.needsList = true;
		}

		this.isFaulty = true;
		onReplaced?.(collection);
		if (this.failures === 0) {
			logger.warn('watch replaced', {collection, reason: error.message});
		}

		const longest = Math.min(longestPauseMs, firstPauseMs * (2 ** this.failures));
		this.failures += 1;
		await clock.sleep(longest * (1 + random.pickIndex(jitterSteps)) / jitterSteps, signal);
	}

	private rejectWaiters(error: Error): void {
		for (const waiter of this.waiters) {
			waiter.reject(error);
		}

		this.waiters = [];
	}
}
