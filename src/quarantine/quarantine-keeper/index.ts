/**
 * Keeps the quarantines of one kind of key on all instances.
 *
 * Each instance decides for itself from the crashes that it sees and those that others report. The one that saw the
 * deciding crash announces and stores the quarantine at once. The others do so after a random pause, and only if they have
 * not heard of it by then, so that a large fleet neither floods its network nor the object API.
 */

import {LRUCache} from 'lru-cache';
import type {Clock} from '../../clock/clock/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import {drawDelay, type DelayBounds} from '../../random/draw-delay/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {ObjectApi, StoredObject} from '../../store/object-api/index.js';
import type {CrashedCall, CrashedTarget, CrashSource} from '../crash-evidence/index.js';
import {forgetQuarantines} from '../forget-quarantines/index.js';
import type {QuarantineNotice} from '../message-fields/index.js';
import {QuarantineRecords, type KeyCodec} from '../quarantine-records/index.js';
import {QuarantineRegister, type DurationPlan, type Quarantine} from '../quarantine-register/index.js';

/** Bounds of the pause after which an instance that did not see the deciding crash announces or stores a quarantine, in milliseconds. */
const announcementDelayMs = {shortest: 0, longest: 500};
const storeDelayMs = {shortest: 2000, longest: 6000};
const maximumAnnounced = 1000;
const maximumDumped = 50;

/** Options of each quarantine. */
export type QuarantineOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly channel: DatagramTransport;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	/** Creates and reads stored quarantines, if necessary through a peer. */
	readonly objectApi: Pick<ObjectApi, 'get' | 'create' | 'update'>;
	readonly remover: Pick<ObjectApi, 'remove'>;
	readonly collection: string;
	/** Called for each crash that another instance reports. */
	readonly onPeerCrash?: (crash: CrashedTarget) => void;
};

/** From where a quarantine is known that this instance has not decided on. */
export type AdoptionSource = 'peer' | 'store';

/** What differs between quarantines of prompt parts and of whole requests. */
export type QuarantineKind<Key extends string> = {
	readonly codec: KeyCodec<Key>;
	readonly planDuration: DurationPlan;
	/** Maximum number of quarantines that are stored. The rest is known to the instances that run now. */
	readonly maximumStored: number;
	/** Logs a quarantine that this instance decided on. */
	logDecision(quarantine: Quarantine<Key>, source: CrashSource, now: MonotonicMs): void;
	/** Logs a quarantine that another instance decided on. */
	logAdoption(quarantine: Quarantine<Key>, source: AdoptionSource, now: MonotonicMs): void;
	logLift(key: Key, reason: string): void;
};

/** Evidence that a quarantine rests on. */
export type KnownEvidence<Key extends string> = {
	/** Whether a call with the key had a complete answer at `since` or later. */
	hasCompletedSince(key: Key, since: MonotonicMs): boolean;
	/** Forgets what speaks against a key. */
	forget(key: Key): void;
};

/** Number of crashes that a decision rests on. */
export type Decision<Key extends string> = {readonly key: Key; readonly crashes: number; readonly sequentialCrashes: number};

/** Dependencies of `QuarantineKeeper`. */
export type QuarantineKeeperOptions<Key extends string> = QuarantineOptions & {
	readonly kind: QuarantineKind<Key>;
	readonly evidence: KnownEvidence<Key>;
	/** Tells the other instances of a quarantine. */
	readonly announce: (notice: QuarantineNotice<Key>) => void;
};

/** Quarantines of one kind, as known to one instance, and their stored form. */
export class QuarantineKeeper<Key extends string> {
	readonly register: QuarantineRegister<Key>;
	private readonly records: QuarantineRecords<Key>;
	/** When a quarantine of a key was last announced, by this instance or another one. */
	private readonly announced = new LRUCache<Key, MonotonicMs>({max: maximumAnnounced});

	constructor(private readonly options: QuarantineKeeperOptions<Key>) {
		const {kind: {codec, planDuration}} = options;
		this.register = new QuarantineRegister(planDuration);
		this.records = new QuarantineRecords({
			...options, codec,
			read: key => this.register.read(key),
			onStored: quarantine => {
				this.adopt(quarantine, 'store');
			},
			onRemoved: key => {
				this.applyRemoval(key);
			},
		});
	}

	/** Whether crashes with a key need no other explanation. */
	readonly isCulprit = (key: Key): boolean => this.register.read(key) !== undefined;

	/** Removes quarantines whose probation has ended, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await forgetQuarantines({...this.options, register: this.register, records: this.records}, signal);
	}

	/** Takes over the stored quarantines. */
	replaceStored(objects: readonly StoredObject[], version: string | undefined): void {
		this.records.replace(objects, version);
	}

	/** Quarantines a key, for longer if it is on probation. Returns whether it did; one that began as late may have been lifted. */
	quarantine({key, crashes, sequentialCrashes}: Decision<Key>, source: CrashSource, now: MonotonicMs): boolean {
		const quarantine = this.register.plan(key, crashes, now, sequentialCrashes);
		if (!this.register.add(quarantine)) {
			return false;
		}

		this.options.kind.logDecision(quarantine, source, now);
		void this.announceAfterDelay({quarantine, decidedAt: now}, this.chooseDelay(source, announcementDelayMs));
		this.store(quarantine, this.chooseDelay(source, storeDelayMs));
		return true;
	}

	/** Quarantines keys on probation again that were in a crash: of each call the last one, which the fewest calls share. */
	renewAfterProbation(calls: ReadonlyArray<CrashedCall<Key>>, crashedAt: MonotonicMs, source: CrashSource, now: MonotonicMs): void {
		for (const {keys, sentAt} of calls) {
			const key = keys.findLast(candidate => this.register.isOnProbation(candidate, now));
			const isNew = key !== undefined && sentAt > this.register.read(key)!.endsAt && !this.options.evidence.hasCompletedSince(key, crashedAt);
			if (isNew && this.register.findActive(keys, now) === undefined) {
				this.quarantine({key, crashes: 1, sequentialCrashes: 1}, source, now);
			}
		}
	}

	/** Takes over a quarantine that another instance announced, unless a complete answer has refuted it meanwhile. */
	applyNotice({quarantine, decidedAt}: QuarantineNotice<Key>, now: MonotonicMs): void {
		const {random, evidence} = this.options;
		if (!evidence.hasCompletedSince(quarantine.key, decidedAt)) {
			this.announced.set(quarantine.key, now);
			if (this.adopt(quarantine, 'peer')) {
				this.store(quarantine, drawDelay(random, storeDelayMs));
			}
		}
	}

	/** Lifts a quarantine that a complete answer at another instance refutes. */
	applyCompletion(key: Key, completedAt: MonotonicMs): void {
		const quarantine = this.register.read(key);
		if (quarantine !== undefined && completedAt >= quarantine.endsAt - quarantine.durationMs) {
			this.lift(key, 'completed elsewhere');
			void this.records.removeOwn(key);
		}
	}

	/** Lifts the quarantine of a key. Returns whether there was one. */
	lift(key: Key, reason: string): boolean {
		const isLifted = this.register.lift(key) !== undefined;
		if (isLifted) {
			this.options.kind.logLift(key, reason);
		}

		return isLifted;
	}

	/** Removes the stored quarantine of a key. */
	removeStored(key: Key): void {
		void this.records.remove(key);
	}

	/** Lists quarantines for a dump. */
	listDumped(now: MonotonicMs) {
		return this.register.list().slice(0, maximumDumped).map(({key, crashes, durationMs, endsAt}) => ({
			key, crashes, durationMs, remainingMs: Math.max(0, Math.round(endsAt - now)),
		}));
	}

	private chooseDelay(source: CrashSource, bounds: DelayBounds): number {
		return source === 'own' ? 0 : drawDelay(this.options.random, bounds);
	}

	private async announceAfterDelay(notice: QuarantineNotice<Key>, delayMs: number): Promise<void> {
		const {key, endsAt} = notice.quarantine;
		if (delayMs > 0) {
			await this.options.clock.sleep(delayMs);
		}

		const isCurrent = this.register.read(key)?.endsAt === endsAt;
		if (isCurrent && (this.announced.get(key) ?? Number.NEGATIVE_INFINITY) < notice.decidedAt) {
			this.announced.set(key, notice.decidedAt);
			this.options.announce(notice);
		}
	}

	private store(quarantine: Quarantine<Key>, delayMs: number): void {
		const {kind, logger} = this.options;
		if (this.register.list().length > kind.maximumStored) {
			logger.warn('quarantine not stored', {key: quarantine.key, reason: 'too many are quarantined'});
			return;
		}

		void this.records.store(quarantine, delayMs);
	}

	/** Takes over a quarantine that another instance decided on. Returns whether it was new. */
	private adopt(quarantine: Quarantine<Key>, source: AdoptionSource): boolean {
		const isNew = this.register.add(quarantine);
		if (isNew) {
			this.options.kind.logAdoption(quarantine, source, this.options.clock.readMonotonic());
		}

		return isNew;
	}

	/** Lifts a quarantine whose object was deleted. The evidence would bring it back, or speak against keys of the same calls. */
	private applyRemoval(key: Key): void {
		if (this.lift(key, 'object deleted')) {
			this.options.evidence.forget(key);
		}
	}
}
