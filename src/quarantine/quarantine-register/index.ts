/**
 * Quarantined prompt parts or requests, as known to one instance. After the end of its quarantine, a part or request is on
 * probation: the next crash quarantines it again for longer, and a complete answer lifts the quarantine for good.
 */

import {LRUCache} from 'lru-cache';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {PartKey} from '../part-key/index.js';

/** Quarantine of a prompt part or a request. */
export type Quarantine<Key extends string = PartKey> = {
	readonly key: Key;
	/** Crashes that led to it. */
	readonly crashes: number;
	readonly endsAt: MonotonicMs;
	readonly durationMs: number;
};

/** Duration of the first quarantine of a part, in milliseconds. */
export const initialDurationMs = 600_000;
const maximumDurationMs = 86_400_000;
/** Time after which a quarantine that ended is forgotten, in milliseconds. */
export const probationMs = 86_400_000;
const maximumQuarantines = 1000;
/**
 * Minimum difference of the ends or beginnings of two quarantines of a part, in milliseconds. Copies of one quarantine
 * differ by the time that messages take.
 */
const minimumExtensionMs = 2000;

/** Returns the duration of a quarantine from that of the previous one, which is undefined for the first, and from the number of crashes in sequence. */
export type DurationPlan = (previousMs: number | undefined, sequentialCrashes: number) => number;

/** Doubles the duration with each quarantine, up to a day. */
export const doubleDuration: DurationPlan = previousMs => previousMs === undefined ? initialDurationMs : Math.min(maximumDurationMs, 2 * previousMs);

/** Quarantines by key. */
export class QuarantineRegister<Key extends string = PartKey> {
	private readonly quarantines = new LRUCache<Key, Quarantine<Key>>({max: maximumQuarantines});
	/** Beginnings of the lifted quarantines, so that late copies don't bring them back, and later ones are accepted. */
	private readonly liftedBeginnings = new LRUCache<Key, MonotonicMs>({max: maximumQuarantines});

	constructor(private readonly planDuration: DurationPlan = doubleDuration) {}

	get isEmpty(): boolean {
		return this.quarantines.size === 0;
	}

	/** Number of keys in quarantine. */
	countActive(now: MonotonicMs): number {
		return this.list().filter(quarantine => isActive(quarantine, now)).length;
	}

	list(): Array<Quarantine<Key>> {
		return [...this.quarantines.values()];
	}

	/** Returns the quarantine of a key, also one that has ended. */
	read(key: Key): Quarantine<Key> | undefined {
		return this.quarantines.get(key);
	}

	/** Finds the quarantine in force of the given keys that ends last. */
	findActive(keys: readonly Key[], now: MonotonicMs): Quarantine<Key> | undefined {
		let latest: Quarantine<Key> | undefined;
		for (const key of this.quarantines.size === 0 ? [] : keys) {
			const quarantine = this.quarantines.get(key);
			if (quarantine !== undefined && isActive(quarantine, now) && quarantine.endsAt > (latest?.endsAt ?? 0)) {
				latest = quarantine;
			}
		}

		return latest;
	}

	/** Whether the quarantine of a key has ended without a complete answer since. */
	isOnProbation(key: Key, now: MonotonicMs): boolean {
		const quarantine = this.quarantines.get(key);
		return quarantine !== undefined && !isActive(quarantine, now);
	}

	/** Builds the next quarantine of a key: the first one, or a longer one after probation. */
	plan(key: Key, crashes: number, now: MonotonicMs, sequentialCrashes = crashes): Quarantine<Key> {
		const previous = this.quarantines.get(key);
		const durationMs = this.planDuration(previous?.durationMs, sequentialCrashes);
		return {
			key, crashes: crashes + (previous?.crashes ?? 0), durationMs, endsAt: now + durationMs as MonotonicMs,
		};
	}

	/** Adds a quarantine unless a known one ends as late or a lifted one began as late. Returns whether it was added. */
	add(quarantine: Quarantine<Key>): boolean {
		const {key, endsAt} = quarantine;
		const knownEnd = this.quarantines.get(key)?.endsAt ?? Number.NEGATIVE_INFINITY;
		const liftedBeginning = this.liftedBeginnings.get(key) ?? Number.NEGATIVE_INFINITY;
		if (endsAt < knownEnd + minimumExtensionMs || readBeginning(quarantine) < liftedBeginning + minimumExtensionMs) {
			return false;
		}

		this.quarantines.set(key, quarantine);
		return true;
	}

	/** Lifts the quarantine of a key. Returns it, or undefined if there is none. */
	lift(key: Key): Quarantine<Key> | undefined {
		const quarantine = this.quarantines.get(key);
		if (quarantine !== undefined) {
			this.quarantines.delete(key);
			this.liftedBeginnings.set(key, readBeginning(quarantine));
		}

		return quarantine;
	}

	/** Lists the keys whose probation has ended as well. */
	listForgettable(now: MonotonicMs): Key[] {
		return this.list().filter(({endsAt}) => now > endsAt + probationMs).map(({key}) => key);
	}
}

/** Returns when a quarantine began. */
function readBeginning({endsAt, durationMs}: Pick<Quarantine, 'endsAt' | 'durationMs'>): MonotonicMs {
	return endsAt - durationMs as MonotonicMs;
}

/** Whether a quarantine is in force. */
export function isActive({endsAt}: Pick<Quarantine, 'endsAt'>, now: MonotonicMs): boolean {
	return now < endsAt;
}
