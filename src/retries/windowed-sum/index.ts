/** Sums amounts over a sliding window. It keeps one sum for each part of the window, however many amounts there are. */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Parts of the window. */
const slotsPerWindow = 20;
/** One more slot, so that the whole slots cover the window also when the newest one has just begun. */
const keptSlots = slotsPerWindow + 1;

/** Sum over a sliding window. */
export class WindowedSum {
	private readonly slots = new Float64Array(keptSlots);
	private newestSlot = 0;

	constructor(readonly windowMs: number) {}

	/** Adds an amount, which may be negative. */
	add(amount: number, now: MonotonicMs): void {
		this.advance(now);
		this.slots[this.newestSlot % keptSlots]! += amount;
	}

	/** Sums what was added in the window; leaves a part out if it reaches beyond the window. */
	sumWithin(now: MonotonicMs): number {
		this.advance(now);
		const oldest = this.slots[(this.newestSlot + 1) % keptSlots]!;
		return this.sumAll() - oldest;
	}

	/** Sums what was added in the window; includes a part that reaches beyond it. */
	sumCovering(now: MonotonicMs): number {
		this.advance(now);
		return this.sumAll();
	}

	/** Clears the slots that have passed since the newest one. */
	private advance(now: MonotonicMs): void {
		const slot = Math.max(this.newestSlot, Math.floor(now * slotsPerWindow / this.windowMs));
		if (slot - this.newestSlot >= keptSlots) {
			this.slots.fill(0);
		} else {
			for (let passed = this.newestSlot + 1; passed <= slot; passed += 1) {
				this.slots[passed % keptSlots] = 0;
			}
		}

		this.newestSlot = slot;
	}

	private sumAll(): number {
		return this.slots.reduce((sum, amount) => sum + amount, 0);
	}
}
