/**
 * Keeps the versions of all services in the object API, so that instances that start after all others have ended know which
 * versions may have begun the streams that callers take up. It is written when a version appears or is forgotten.
 */

import type {Clock} from '../../clock/clock/index.js';
import {Wakeup} from '../../clock/wakeup/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import {rankLiveMembers} from '../../membership/rank-live-members/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {ConditionalObject} from '../../store/conditional-object/index.js';
import type {ObjectApi} from '../../store/object-api/index.js';
import type {SoftwareHistory, SoftwareVersions} from '../software-history/index.js';
import {parseHistoryObject, parseSoftwareVersions} from '../stream-messages/index.js';

/** Name of the object. */
export const historyName = 'software';
/** JSON-RPC method that returns the versions that an instance knows, if it knows all. */
export const readVersionsMethod = 'streams.versions';
const checkIntervalMs = 1000;
const readRetryMs = 250;
const peerTimeoutMs = 250;
/** Bounds of the pause after which an instance that is not the first choice writes, in milliseconds. */
/** Time for which an answer of a peer or of the object API confirms the versions, in milliseconds. */
const confirmationMs = 100;
const otherWriterDelayMs = {shortest: 1500, longest: 4500};

/** Options of `HistoryRecord`. */
export type HistoryRecordOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly caller: PeerCaller;
	readonly registry: PeerMethodRegistry;
	readonly objectApi: Pick<ObjectApi, 'get' | 'create' | 'update' | 'readEra'>;
	readonly collection: string;
	/** Live instances, including this one. */
	readonly listLive: () => readonly Member[];
	/** Returns for how long callers may wait for a stream, in milliseconds. */
	readonly readLongestWaitMs: () => number;
};

/** Reads and writes the versions. */
export class HistoryRecord {
	private readonly object: ConditionalObject;
	private readonly changed = new Wakeup();
	private readonly startedAt: MonotonicMs;
	/** Whether the versions of earlier instances were read. */
	private isRead = false;
	/** JSON of the versions that the object API has, as far as it is known. */
	private stored: string | undefined;
	private era = 0;
	private confirmedAt: MonotonicMs | undefined;
	private confirmation: Promise<boolean> | undefined;

	constructor(private readonly options: HistoryRecordOptions, private readonly history: SoftwareHistory) {
		this.object = new ConditionalObject({...options, name: historyName});
		this.startedAt = options.clock.readMonotonic();
		options.registry.register(readVersionsMethod, async () => ({
			versions: this.isComplete ? history.read(options.clock.readMonotonic()) : null,
		}));
	}

	/** Whether all versions are known that may have begun streams: they were read, or this instance has seen all of that time. */
	get isComplete(): boolean {
		const {clock, readLongestWaitMs} = this.options;
		return this.isRead || clock.readMonotonic() - this.startedAt >= readLongestWaitMs();
	}

	/** Whether this instance is the first choice to write for the fleet. */
	get isWriter(): boolean {
		return rankLiveMembers('stream history', this.options.listLive())[0]?.id === this.options.self;
	}

	/** Notes that versions may have changed. */
	notify(): void {
		this.changed.notify();
	}

	/**
	 * Finds out whether there are versions that this instance has not heard of, because it was cut off or stood still. Resolves to
	 * whether a peer or the object API has answered; what they know then counts here, too.
	 */
	async confirm(): Promise<boolean> {
		const now = this.options.clock.readMonotonic();
		if (this.confirmedAt !== undefined && now - this.confirmedAt < confirmationMs) {
			return true;
		}

		this.confirmation ??= this.requestConfirmation();
		return this.confirmation;
	}

	/** Keeps the object up to date until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.options;
		while (!signal.aborted && !this.isComplete) {
			await this.readFirst();
			await clock.sleep(this.isRead ? 0 : readRetryMs, signal);
		}

		while (!signal.aborted) {
			if (this.isOutdated()) {
				await this.update(signal);
			}

			await this.changed.wait(clock, checkIntervalMs, signal);
		}
	}

	/** Reads the versions of earlier instances from the object API or, while it can't be reached, from a peer. */
	private async readFirst(): Promise<void> {
		const {clock, logger} = this.options;
		try {
			this.isRead = await this.readObject();
		} catch (error) {
			logger.warn('software versions not read', {reason: (error as Error).message});
			const versions = await this.askPeer();
			if (versions !== undefined) {
				this.history.addEarlier(versions, clock.readMonotonic());
				this.isRead = true;
			}
		}
	}

	private async requestConfirmation(): Promise<boolean> {
		const {clock, logger} = this.options;
		const now = clock.readMonotonic();
		try {
			const versions = await this.askPeer();
			if (versions !== undefined) {
				this.history.addEarlier(versions, clock.readMonotonic());
			}

			const isConfirmed = versions !== undefined || await this.readObject();
			this.confirmedAt = isConfirmed ? now : undefined;
			return isConfirmed;
		} catch (error) {
			logger.warn('software versions not confirmed', {reason: (error as Error).message});
			return false;
		} finally {
			this.confirmation = undefined;
		}
	}

	private async askPeer(): Promise<SoftwareVersions | undefined> {
		const {self, random, caller, logger, listLive} = this.options;
		const peer = random.pickSome(listLive().filter(({id}) => id !== self), 1)[0];
		if (peer === undefined) {
			return undefined;
		}

		try {
			const {versions} = await caller.call<{versions: unknown}>(peer.id, readVersionsMethod, {}, peerTimeoutMs);
			return versions === null ? undefined : parseSoftwareVersions(versions);
		} catch (error) {
			logger.warn('software versions not passed on by peer', {peer: peer.id, reason: (error as Error).message});
			return undefined;
		}
	}

	/** Reads the object and adds its versions to those known here. Resolves to whether it could be understood. */
	private async readObject(): Promise<boolean> {
		const {clock, logger} = this.options;
		const value = await this.object.read();
		try {
			const versions = value === undefined ? {} : parseHistoryObject(value);
			this.stored = JSON.stringify(versions);
			this.history.addEarlier(versions, clock.readMonotonic());
			return true;
		} catch (error) {
			this.stored = undefined;
			logger.warn('stored software versions ignored', {reason: (error as Error).message});
			return false;
		}
	}

	/** Whether the object differs from what is known here. A restore of the object API may have lost what was written. */
	private isOutdated(): boolean {
		const era = this.options.objectApi.readEra();
		if (era !== this.era) {
			this.era = era;
			this.stored = undefined;
		}

		const versions = this.describe();
		return versions !== '{}' && versions !== this.stored;
	}

	private describe(): string {
		return JSON.stringify(this.history.read(this.options.clock.readMonotonic()));
	}

	/** Writes the versions, unless another instance has done so meanwhile. */
	private async update(signal: AbortSignal): Promise<void> {
		const {clock, random, logger} = this.options;
		const {shortest, longest} = otherWriterDelayMs;
		await clock.sleep(this.isWriter ? 0 : shortest + random.pickIndex(longest - shortest), signal);
		if (signal.aborted) {
			return;
		}

		try {
			await this.readObject();
			const versions = this.describe();
			if (versions !== this.stored) {
				await this.object.write({services: JSON.parse(versions) as unknown});
				this.stored = versions;
				logger.info('software versions stored', {versions});
			}
		} catch (error) {
			logger.warn('software versions not stored', {reason: (error as Error).message});
		}
	}
}
