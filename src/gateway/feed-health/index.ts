/**
 * Tells whether the object API is interrupted for this instance, and since when: for a watcher from its own watches, for a
 * follower from what its peers answer.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {CollectionMirror} from '../../store/collection-mirror/index.js';

/** Time without a response from a healthy watcher after which a follower considers the object API interrupted, in milliseconds. */
const followerSilenceLimitMs = 2000;
/**
 * Silence of a watch after which a watcher considers the object API interrupted and asks its peers, in
 * milliseconds; longer than a watch call waits for changes.
 */
const watcherSilenceLimitMs = 4500;

/** Contact of one instance with the object API, directly or through peers. */
export class FeedHealth {
	/** When this instance last had contact with the object API, directly or through a peer for which it was available. */
	private contactAt: MonotonicMs;
	/** When a regular watcher was last healthy; additional ones do not count, so that they are polled until then. */
	private regularContactAt: MonotonicMs;
	private watchingSince: MonotonicMs | undefined;

	constructor(private readonly mirrors: ReadonlyMap<string, CollectionMirror>, startedAt: MonotonicMs) {
		this.contactAt = startedAt;
		this.regularContactAt = startedAt;
	}

	/** Records that the watches of this instance have started or ended. */
	setWatching(isWatching: boolean, now: MonotonicMs): void {
		this.watchingSince = isWatching ? now : undefined;
	}

	/** Records contact with the object API if the watches of this instance are healthy. */
	recordWatches(now: MonotonicMs): void {
		if (this.hasHealthyWatches(now)) {
			this.contactAt = now;
			this.regularContactAt = now;
		}
	}

	/** Records the answer of a peer that had contact with the object API `contactAgeMs` ago. */
	recordAnswer(contactAgeMs: number, isRegularWatcher: boolean, now: MonotonicMs): void {
		const at = now - contactAgeMs;
		this.contactAt = Math.max(this.contactAt, at) as MonotonicMs;
		if (isRegularWatcher) {
			this.regularContactAt = Math.max(this.regularContactAt, at) as MonotonicMs;
		}
	}

	/** Whether the object API is interrupted for this instance. A watch that has just started counts from its start. */
	isInterrupted(now: MonotonicMs): boolean {
		const {watchingSince} = this;
		return watchingSince === undefined
			? now - this.contactAt > followerSilenceLimitMs
			: [...this.mirrors.values()].some(mirror => mirror.isBroken || now - Math.max(mirror.readHeardAt(), watchingSince) > watcherSilenceLimitMs);
	}

	/** Measures the time since the last contact with the object API, in milliseconds; 0 for a watcher with healthy watches. */
	measureContactAgeMs(now: MonotonicMs): number {
		return this.hasHealthyWatches(now) ? 0 : now - this.contactAt;
	}

	/**
	 * Measures the time without a healthy watcher, in milliseconds. Regular watchers that answer count alone, since additional
	 * ones end after a while. If all regular ones are lost, additional ones count too, so that no more of them start than needed.
	 */
	measureStaleMs(areRegularWatchersLost: boolean, now: MonotonicMs): number {
		return areRegularWatchersLost ? this.measureContactAgeMs(now) : now - this.regularContactAt;
	}

	/** Whether this instance watches, and each watch has been answered since its start. */
	private hasHealthyWatches(now: MonotonicMs): boolean {
		const {watchingSince} = this;
		return watchingSince !== undefined && !this.isInterrupted(now) && [...this.mirrors.values()].every(mirror => mirror.readHeardAt() >= watchingSince);
	}
}
