/**
 * History of the weights versions announced for a model. A version may be announced before all engines
 * have loaded the previous one, so each version has its own time limits.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Limits of calls on versions older than an announced one. */
export type VersionLimits = {
	/** Time from which no call is sent to an older version. */
	readonly exclusiveFrom: MonotonicMs;
	/** Time from which calls that wait in the queue of an engine with an older version are withdrawn. */
	readonly withdrawFrom: MonotonicMs;
};

/** A version with the time at which this instance heard of it, and the limits of older ones. */
export type AnnouncedVersion = VersionLimits & {readonly version: number; readonly announcedAt: MonotonicMs};

/** Time after the announcement of a version for which answers of older versions don't count as stale. */
const staleGraceMs = 1200;
/** Older versions can be dropped, since the limits of later versions apply to the same calls. */
const maximumAnnouncedVersions = 16;

/** Announced versions of one model. */
export class WeightsVersionHistory {
	private versions: AnnouncedVersion[] = [];

	/** Newest version; 0 before the first announcement. */
	get version(): number {
		return this.versions.at(-1)?.version ?? 0;
	}

	/** Time from which no call may start on versions older than the newest; undefined before the first announcement. */
	readExclusiveFrom(): MonotonicMs | undefined {
		return this.versions.at(-1)?.exclusiveFrom;
	}

	/** Adds a version. Returns false, without a change, unless it is the newest. */
	addVersion(announced: AnnouncedVersion): boolean {
		if (announced.version <= this.version) {
			return false;
		}

		this.versions = [...this.versions, announced].slice(-maximumAnnouncedVersions);
		return true;
	}

	/** Brings all limits forward by `ms`. */
	shiftLimits(ms: number): void {
		this.versions = this.versions.map(announced => ({
			...announced,
			exclusiveFrom: announced.exclusiveFrom - ms as MonotonicMs,
			withdrawFrom: announced.withdrawFrom - ms as MonotonicMs,
		}));
	}

	/** Whether a new call may start on `version`. */
	allowsNewCalls(version: number, now: MonotonicMs): boolean {
		return !this.versions.some(announced => announced.version > version && now >= announced.exclusiveFrom);
	}

	/** Whether a call that was sent to `version` must not begin there any more. */
	mustNotBegin(version: number, now: MonotonicMs): boolean {
		return this.versions.some(announced => announced.version > version && now >= announced.withdrawFrom);
	}

	/** Whether answers of `version` are stale because a newer version has replaced it. */
	isStale(version: number, now: MonotonicMs): boolean {
		return this.versions.some(announced => announced.version > version && now - announced.announcedAt > staleGraceMs);
	}
}
