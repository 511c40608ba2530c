/**
 * Tells the other instances which prompt parts calls ended with a complete answer with: at once where this clears a part
 * of crashes, and at a crash for the parts of earlier complete answers, since these need more evidence.
 */

import {LRUCache} from 'lru-cache';
import type {Clock} from '../../clock/clock/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {splitList} from '../../peers/split-list/index.js';
import {drawDelay} from '../../random/draw-delay/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {PartKey} from '../part-key/index.js';
import {maximumClearancesPerMessage, type Clearance} from '../quarantine-messages/index.js';

/** Minimum interval between two announcements of clearances, in milliseconds. */
const clearanceIntervalMs = 200;
/** Bounds of the pause before an instance tells the others of earlier complete answers with parts of a crash, in milliseconds. */
const confirmationDelayMs = {shortest: 0, longest: 200};
/** Time after which it is told again, in milliseconds. */
const confirmationIntervalMs = 5000;
const maximumRecentParts = 1000;

/** Options of `PartClearances`. */
export type PartClearancesOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Returns when a call with the part last ended with a complete answer; undefined if it is not known. */
	readonly readCompletedAt: (part: PartKey) => MonotonicMs | undefined;
	/** Tells the other instances; the list fits into one message. */
	readonly announce: (clearances: readonly Clearance[]) => void;
};

/** Announcements of complete answers by one instance. */
export class PartClearances {
	/** Clearances that are to be announced. */
	private readonly pending = new Map<PartKey, Clearance>();
	/** When this instance last announced clearances. */
	private announcedAt: MonotonicMs = Number.NEGATIVE_INFINITY as MonotonicMs;
	/** When this or another instance last told all others of a complete answer, by part. */
	private readonly confirmed = new LRUCache<PartKey, MonotonicMs>({max: maximumRecentParts});

	constructor(private readonly options: PartClearancesOptions) {}

	/** Records that another instance told of a complete answer with the part. */
	record(part: PartKey, now: MonotonicMs): void {
		this.confirmed.set(part, now);
	}

	/** Announces clearances at once, or after the minimum interval together with those that follow until then. */
	schedule(parts: readonly PartKey[], now: MonotonicMs): void {
		const isScheduled = this.pending.size > 0;
		for (const part of parts) {
			this.pending.set(part, {part, completedAt: now});
		}

		if (!isScheduled) {
			void this.flush(now);
		}
	}

	/**
	 * Tells the others which parts of a crash were in calls that ended with a complete answer here before. It does so after a
	 * random pause, and only if no other instance has done it by then.
	 */
	async confirmProven(parts: readonly PartKey[], now: MonotonicMs): Promise<void> {
		const {clock, random, readCompletedAt} = this.options;
		const isUnconfirmed = (part: PartKey) => readCompletedAt(part) !== undefined && !this.isConfirmed(part, now);
		if (!parts.some(part => isUnconfirmed(part))) {
			return;
		}

		await clock.sleep(drawDelay(random, confirmationDelayMs));
		const clearances = parts.filter(part => isUnconfirmed(part)).slice(0, maximumClearancesPerMessage)
			.map(part => ({part, completedAt: readCompletedAt(part)!}));
		if (clearances.length > 0) {
			this.announce(clearances, clock.readMonotonic());
		}
	}

	private async flush(now: MonotonicMs): Promise<void> {
		const {clock} = this.options;
		await clock.sleep(Math.max(0, this.announcedAt + clearanceIntervalMs - now));
		const clearances = [...this.pending.values()];
		this.pending.clear();
		this.announcedAt = clock.readMonotonic();
		for (const message of splitList(clearances, maximumClearancesPerMessage)) {
			this.announce(message, this.announcedAt);
		}
	}

	private announce(clearances: readonly Clearance[], now: MonotonicMs): void {
		for (const {part} of clearances) {
			this.confirmed.set(part, now);
		}

		this.options.announce(clearances);
	}

	private isConfirmed(part: PartKey, now: MonotonicMs): boolean {
		const confirmedAt = this.confirmed.get(part);
		return confirmedAt !== undefined && now - confirmedAt < confirmationIntervalMs;
	}
}
