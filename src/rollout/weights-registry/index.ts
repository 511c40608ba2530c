/** Announced weights versions of all models. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {WeightsVersionHistory} from '../weights-version-history/index.js';

/**
 * Duration of the start-up phase, and the grace period for versions received during it. The grace period doesn't
 * depend on the time limit, because such a version may have been announced long before the start.
 */
const startupGraceMs = 3000;
/** Share of the time limit for which calls may start on old weights; the remainder allows for the delay of the announcement. */
const graceShare = 0.75;

/** Stores which weights versions were announced and when. */
export class WeightsRegistry {
	private readonly weightsByModel = new Map<string, WeightsVersionHistory>();

	/** `readOldWeightsLimitMs` returns the time after an announcement from which no call may start on older weights. */
	constructor(private readonly startedAt: MonotonicMs, private readonly readOldWeightsLimitMs: () => number) {}

	/** Adds a version announced at `now`. Returns whether it is newer than all previous ones. */
	addVersion(model: string, version: number, now: MonotonicMs): boolean {
		let weights = this.weightsByModel.get(model);
		if (weights === undefined) {
			weights = new WeightsVersionHistory();
			this.weightsByModel.set(model, weights);
		}

		const isStarting = now - this.startedAt < startupGraceMs;
		return weights.addVersion(version, isStarting ? startupGraceMs : this.readOldWeightsLimitMs() * graceShare, now);
	}

	find(model: string): WeightsVersionHistory | undefined {
		return this.weightsByModel.get(model);
	}

	list(): ReadonlyMap<string, WeightsVersionHistory> {
		return this.weightsByModel;
	}

	/** Newest version by model. */
	dump(): Record<string, number> {
		return Object.fromEntries([...this.weightsByModel].map(([model, {version}]) => [model, version]));
	}
}
