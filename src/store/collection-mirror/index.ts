/**
 * Local copy of a collection, kept up to date by a watch. A watch that breaks or goes silent is replaced
 * after a backoff with jitter. If its version has expired, the collection is listed again first.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {MonotonicMs, ResourceVersion} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {
	ObjectApiError, type ObjectApi, type StoredObject, type WatchEvent,
} from '../object-api/index.js';
import {isLaterVersion} from '../object-version/index.js';
import {RemovalLog} from '../removal-log/index.js';

/** Time without events after which a watch counts as dead, in milliseconds. The object API sends a bookmark at least every second. */
export const watchSilenceMs = 2500;
const checksPerSilenceTimeout = 10;
/** Minimum interval between two checks for silence, in milliseconds. Each check wakes up the process. */
const minimumCheckIntervalMs = 250;
const initialBackoffMs = 50;
const maximumBackoffMs = 2000;
const jitterSteps = 1000;

/** Options of `CollectionMirror`. */
export type CollectionMirrorOptions = {
	readonly objectApi: ObjectApi;
	readonly collection: string;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	/** Called after each list and each change. */
	readonly onChange: () => void;
	/** Called after each list and each watch event, including bookmarks. */
	readonly onHeard?: (now: MonotonicMs) => void;
	/** Called after each list and each bookmark with a version that the object API had `ageMs` milliseconds ago or later. */
	readonly onConfirmed?: (version: ResourceVersion, ageMs: number) => void;
	/** Called with the collection when its watch is replaced, for metrics. */
	readonly onWatchReplaced?: (collection: string) => void;
	/** Time without events after which a watch counts as dead, in milliseconds. Defaults to `watchSilenceMs`. */
	readonly silenceMs?: number;
	/**
	 * Whether to list the collection again after each broken watch. Required if a watch call that continues from
	 * an old version may wait for its full duration even though changes were dropped in the meantime.
	 */
	readonly shouldRelistAfterFailure?: boolean;
};

/** Content of a collection that brings an older copy up to date. */
export type CollectionUpdate = {
	readonly collection: string;
	/** Version of the copy after this update. */
	readonly version: string;
	/** Whether `objects` is the whole collection. Otherwise, it contains only the changed objects. */
	readonly isComplete: boolean;
	readonly objects: readonly StoredObject[];
	/** Names of the removed objects. Empty in a complete update. */
	readonly removed: readonly string[];
};

type RefreshWaiter = {readonly resolve: () => void; readonly reject: (error: Error) => void};

/** Local copy of a collection, which is updated while `run` is running. */
export class CollectionMirror<Value = unknown> {
	readonly objects = new Map<string, StoredObject<Value>>();
	/** Whether `objects` has been read or taken over at least once. */
	isSynced = false;
	private version: ResourceVersion | undefined;
	private shouldList = true;
	/** Whether nothing has been received since the last failure of a list or a watch. */
	private isFaulty = false;
	private lastHeardAt: MonotonicMs;
	private consecutiveFailures = 0;
	private refreshWaiters: RefreshWaiter[] = [];
	private watchController = new AbortController();
	private readonly removals = new RemovalLog();

	constructor(private readonly options: CollectionMirrorOptions) {
		this.lastHeardAt = options.clock.readMonotonic();
	}

	/** Keeps the copy up to date until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const handleAbort = () => {
			this.watchController.abort();
			this.rejectRefreshWaiters(new Error('the mirror was stopped'));
		};

		signal.addEventListener('abort', handleAbort, {once: true});
		while (!signal.aborted) {
			try {
				if (this.shouldList || this.refreshWaiters.length > 0) {
					await this.loadCollection();
				}

				await this.followWatch(signal);
			} catch (error) {
				await this.backOff(error as Error, signal);
			}
		}

		signal.removeEventListener('abort', handleAbort);
	}

	/** Returns the version of `objects`, or undefined before the collection has been read. */
	readVersion(): ResourceVersion | undefined {
		return this.version;
	}

	/** Returns when a list or a watch event was last received, or a watch was last started. */
	readHeardAt(): MonotonicMs {
		return this.lastHeardAt;
	}

	/** Whether the copy has not been read yet, or the watch is broken at present. */
	get isBroken(): boolean {
		return !this.isSynced || this.isFaulty;
	}

	/** Applies an update from another instance if it is newer. The watch continues from its version. Returns whether it was applied. */
	applyUpdate({version, isComplete, objects, removed}: CollectionUpdate): boolean {
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

	/** Returns the update from version `since` to the present version, or undefined if nothing has changed. */
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

	/** Lists the collection again. When this resolves, `objects` is at least as recent as the call of this method. */
	async refresh(): Promise<void> {
		const refreshed = new Promise<void>((resolve, reject) => {
			this.refreshWaiters.push({resolve, reject});
		});
		this.watchController.abort();
		return refreshed;
	}

	private async loadCollection(): Promise<void> {
		const {refreshWaiters} = this;
		this.refreshWaiters = [];
		try {
			const list = await this.options.objectApi.list<Value>(this.options.collection);
			this.replaceAll(list.items, list.resourceVersion);
			this.shouldList = false;
			this.isSynced = true;
			this.markHeard();
			this.options.onChange();
			this.options.onConfirmed?.(list.resourceVersion, list.ageMs ?? 0);
			for (const waiter of refreshWaiters) {
				waiter.resolve();
			}
		} catch (error) {
			for (const waiter of refreshWaiters) {
				waiter.reject(error as Error);
			}

			throw error;
		}
	}

	/** Follows a watch until it is aborted. Rejects if it breaks or goes silent. */
	private async followWatch(signal: AbortSignal): Promise<void> {
		const controller = new AbortController();
		this.watchController = controller;
		this.lastHeardAt = this.options.clock.readMonotonic();
		if (this.refreshWaiters.length > 0 || signal.aborted) {
			return;
		}

		let watchError: Error | undefined;
		const subscription = this.options.objectApi.watch<Value>(this.options.collection, this.version!).subscribe({
			next: event => {
				if (!controller.signal.aborted) {
					this.applyEvent(event);
				}
			},
			error(error: Error) {
				watchError = error;
				controller.abort();
			},
			complete() {
				watchError = new ObjectApiError('unavailable', 'the watch has ended');
				controller.abort();
			},
		});
		try {
			await this.checkSilence(controller.signal);
		} finally {
			controller.abort();
			subscription.unsubscribe();
		}

		if (watchError !== undefined) {
			throw watchError;
		}
	}

	private async checkSilence(signal: AbortSignal): Promise<void> {
		const {clock, silenceMs = watchSilenceMs} = this.options;
		const intervalMs = Math.max(minimumCheckIntervalMs, silenceMs / checksPerSilenceTimeout);
		let dueAt: number = clock.readMonotonic();
		while (!signal.aborted) {
			const now = clock.readMonotonic();
			const silentMs = now - this.lastHeardAt;
			// A late check shows that the process stood still; events that came meanwhile may not have been read yet.
			const isLate = now - dueAt > intervalMs;
			if (silentMs > silenceMs && !isLate) {
				throw new ObjectApiError('unavailable', `the watch has been silent for ${Math.round(silentMs)} ms`);
			}

			dueAt = now + intervalMs;
			await clock.sleep(intervalMs, signal);
		}
	}

	private applyEvent(event: WatchEvent<Value>): void {
		this.markHeard();
		this.consecutiveFailures = 0;
		if (event.type === 'bookmark') {
			this.setVersion(event.resourceVersion);
			this.options.onConfirmed?.(event.resourceVersion, event.ageMs ?? 0);
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

	/** Replaces the whole copy and records which objects this removes. */
	private replaceAll(objects: ReadonlyArray<StoredObject<Value>>, version: ResourceVersion): void {
		const remainingNames = new Set(objects.map(object => object.name));
		for (const name of this.objects.keys()) {
			if (!remainingNames.has(name)) {
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
		this.lastHeardAt = this.options.clock.readMonotonic();
		this.isFaulty = false;
		this.options.onHeard?.(this.lastHeardAt);
	}

	private async backOff(error: Error, signal: AbortSignal): Promise<void> {
		const {collection, clock, logger, random, onWatchReplaced, shouldRelistAfterFailure = false} = this.options;
		if (shouldRelistAfterFailure || (error instanceof ObjectApiError && error.failure === 'expired')) {
			this.shouldList = true;
		}

		this.isFaulty = true;
		onWatchReplaced?.(collection);
		if (this.consecutiveFailures === 0) {
			logger.warn('watch replaced', {collection, reason: error.message});
		}

		const longestBackoffMs = Math.min(maximumBackoffMs, initialBackoffMs * (2 ** this.consecutiveFailures));
		this.consecutiveFailures += 1;
		await clock.sleep(longestBackoffMs * (1 + random.pickIndex(jitterSteps)) / jitterSteps, signal);
	}

	private rejectRefreshWaiters(error: Error): void {
		for (const waiter of this.refreshWaiters) {
			waiter.reject(error);
		}

		this.refreshWaiters = [];
	}
}
