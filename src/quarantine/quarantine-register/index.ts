/**
 * Quarantined prompt parts, as known to one instance. After the end of its quarantine a part is on probation: the next
 * crash quarantines it again for twice as long, and a complete answer lifts the quarantine for good.
 */

import {LRUCache} from 'lru-cache';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {PartKey} from '../part-key/index.js';

/** Quarantine of a part. */
export type Quarantine = {
	readonly part: PartKey;
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

/** Quarantines by part. */
export class QuarantineRegister {
	private readonly quarantines = new LRUCache<PartKey, Quarantine>({max: maximumQuarantines});
	/** Beginnings of the lifted quarantines, so that late copies don't bring them back, and later ones are accepted. */
	private readonly liftedBeginnings = new LRUCache<PartKey, MonotonicMs>({max: maximumQuarantines});

	/** Number of parts in quarantine. */
	countActive(now: MonotonicMs): number {
		return this.list().filter(quarantine => isActive(quarantine, now)).length;
	}

	list(): Quarantine[] {
		return [...this.quarantines.values()];
	}

	/** Returns the quarantine of a part, also one that has ended. */
	read(part: PartKey): Quarantine | undefined {
		return this.quarantines.get(part);
	}

	/** Finds the quarantine in force of the given parts that ends last. */
	findActive(parts: readonly PartKey[], now: MonotonicMs): Quarantine | undefined {
		let latest: Quarantine | undefined;
		for (const part of this.quarantines.size === 0 ? [] : parts) {
			const quarantine = this.quarantines.get(part);
			if (quarantine !== undefined && isActive(quarantine, now) && quarantine.endsAt > (latest?.endsAt ?? 0)) {
				latest = quarantine;
			}
		}

		return latest;
	}

	/** Whether the quarantine of a part has ended without a complete answer since. */
	isOnProbation(part: PartKey, now: MonotonicMs): boolean {
		const quarantine = this.quarantines.get(part);
		return quarantine !== undefined && !isActive(quarantine, now);
	}

	/** Builds the next quarantine of a part: the first one, or one of twice the length after probation. */
	plan(part: PartKey, crashes: number, now: MonotonicMs): Quarantine {
		const previous = this.quarantines.get(part);
		const durationMs = previous === undefined ? initialDurationMs : Math.min(maximumDurationMs, 2 * previous.durationMs);
		return {
			part, crashes: crashes + (previous?.crashes ?? 0), durationMs, endsAt: now + durationMs as MonotonicMs,
		};
	}

	/** Adds a quarantine unless a known one ends as late or a lifted one began as late. Returns whether it was added. */
	add(quarantine: Quarantine): boolean {
		const {part, endsAt} = quarantine;
		const knownEnd = this.quarantines.get(part)?.endsAt ?? Number.NEGATIVE_INFINITY;
		const liftedBeginning = this.liftedBeginnings.get(part) ?? Number.NEGATIVE_INFINITY;
		if (endsAt < knownEnd + minimumExtensionMs || readBeginning(quarantine) < liftedBeginning + minimumExtensionMs) {
			return false;
		}

		this.quarantines.set(part, quarantine);
		return true;
	}

	/** Lifts the quarantine of a part. Returns it, or undefined if there is none. */
	lift(part: PartKey): Quarantine | undefined {
		const quarantine = this.quarantines.get(part);
		if (quarantine !== undefined) {
			this.quarantines.delete(part);
			this.liftedBeginnings.set(part, readBeginning(quarantine));
		}

		return quarantine;
	}

	/** Lists the parts whose probation has ended as well. */
	listForgettable(now: MonotonicMs): PartKey[] {
		return this.list().filter(({endsAt}) => now > endsAt + probationMs).map(({part}) => part);
	}
}

/** Returns when a quarantine began. */
function readBeginning({endsAt, durationMs}: Quarantine): MonotonicMs {
	return endsAt - durationMs as MonotonicMs;
}

/** Whether a quarantine is in force. */
export function isActive({endsAt}: Quarantine, now: MonotonicMs): boolean {
	return now < endsAt;
}
