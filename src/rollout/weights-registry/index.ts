/** Announced weights versions of all models. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {WeightsVersionHistory, type VersionLimits} from '../weights-version-history/index.js';

/**
 * Time after the start for which calls may be sent to old weights although it is not known when the newer ones were
 * announced. The operators count an instance as starting for three seconds from the launch of its process.
 */
const startupGraceMs = 2000;
/** Share of the time limit for which calls may be sent to old weights; the remainder allows for their queue at the engine. */
const graceShare = 0.75;
/** Time before the end of the limit from which calls that have not begun on old weights are withdrawn, in milliseconds. */
const withdrawalMarginMs = 500;

/** How long ago weights were announced, in milliseconds; undefined where it is not known. */
export type AnnouncementAge = {
	/** Maximum age of the announcement. */
	readonly maximumMs: number | undefined;
	/** Maximum age of announcements that this one has replaced before the instance saw them. */
	readonly maximumUnseenMs: number | undefined;
};

/** Stores which weights versions were announced and when. */
export class WeightsRegistry {
	private readonly weightsByModel = new Map<string, WeightsVersionHistory>();

	/** `readOldWeightsLimitMs` returns the time after an announcement from which no call may begin on older weights. */
	constructor(private readonly startedAt: MonotonicMs, private readonly readOldWeightsLimitMs: () => number) {}

	/**
	 * Adds an announced version. The limits count from the earliest possible announcement, also those of versions that
	 * the instance has not seen. Returns whether the version is newer than all previous ones.
	 */
	addVersion(model: string, version: number, age: AnnouncementAge, now: MonotonicMs): boolean {
		let weights = this.weightsByModel.get(model);
		if (weights === undefined) {
			weights = new WeightsVersionHistory();
			this.weightsByModel.set(model, weights);
		}

		if (weights.version + 1 < version) {
			weights.addVersion({version: version - 1, announcedAt: now, ...this.calculateLimits(age.maximumUnseenMs, now)});
		}

		return weights.addVersion({version, announcedAt: now, ...this.calculateLimits(age.maximumMs, now)});
	}

	find(model: string): WeightsVersionHistory | undefined {
		return this.weightsByModel.get(model);
	}

	list(): ReadonlyMap<string, WeightsVersionHistory> {
		return this.weightsByModel;
	}

	/** Brings all limits forward by the time that a suspension lasted and that the monotonic clock did not count. */
	shiftLimits(uncountedMs: number): void {
		for (const weights of this.weightsByModel.values()) {
			weights.shiftLimits(uncountedMs);
		}
	}

	/** Newest version by model. */
	dump(): Record<string, number> {
		return Object.fromEntries([...this.weightsByModel].map(([model, {version}]) => [model, version]));
	}

	private calculateLimits(maximumAgeMs: number | undefined, now: MonotonicMs): VersionLimits {
		if (maximumAgeMs === undefined) {
			const end = Math.max(now, this.startedAt + startupGraceMs) as MonotonicMs;
			return {exclusiveFrom: end, withdrawFrom: end};
		}

		const limitMs = this.readOldWeightsLimitMs();
		const earliestAnnouncement = now - maximumAgeMs;
		return {
			exclusiveFrom: earliestAnnouncement + (limitMs * graceShare) as MonotonicMs,
			withdrawFrom: earliestAnnouncement + limitMs - withdrawalMarginMs as MonotonicMs,
		};
	}
}
