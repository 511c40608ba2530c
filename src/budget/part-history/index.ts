/** Remembers when parts became free and when this instance gave parts up, which limits how parts move between owners. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {
	findSlotOfPart, freePartMark, newPartMark, type LedgerRecord,
} from '../budget-ledger/index.js';
import type {BudgetTimings} from '../budget-timings/index.js';

/** What one instance has seen of the parts. */
export class PartHistory {
	private readonly freeSince = new Map<number, MonotonicMs>();
	private readonly slotGivenUpAt = new Map<number, MonotonicMs>();

	constructor(private readonly timings: BudgetTimings) {}

	/** Notes which parts have no owner in a record that was read at `now`. */
	observe(record: LedgerRecord, now: MonotonicMs): void {
		for (const [part, owner] of record.parts.entries()) {
			if (owner !== freePartMark && owner !== newPartMark) {
				this.freeSince.delete(part);
			} else if (!this.freeSince.has(part)) {
				this.freeSince.set(part, now);
			}
		}
	}

	recordGivenUp(part: number, now: MonotonicMs): void {
		this.slotGivenUpAt.set(findSlotOfPart(part), now);
	}

	/** Whether the last part of the slot was given up long enough ago for another one to follow. */
	canGiveUp(slot: number, now: MonotonicMs): boolean {
		const {rebalanceIntervalMs} = this.timings;
		return now - (this.slotGivenUpAt.get(slot) ?? -rebalanceIntervalMs) >= rebalanceIntervalMs;
	}

	/** Whether the part has been free for so long that an instance may claim it beyond its share. */
	mayExceedShare(part: number, now: MonotonicMs): boolean {
		return now - (this.freeSince.get(part) ?? now) > 2 * this.timings.ledgerIntervalMs;
	}
}
