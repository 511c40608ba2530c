/**
 * History of the weights versions announced for a model. A version may be announced before all engines
 * have loaded the previous one, so each version has its own time limits.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';

type AnnouncedVersion = {readonly version: number; readonly announcedAt: MonotonicMs; readonly exclusiveFrom: MonotonicMs};

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

	/**
	 * Adds a version announced at `now`. Calls may start on older versions for another `graceMs`.
	 * Returns false, without a change, unless the version is the newest.
	 */
	addVersion(version: number, graceMs: number, now: MonotonicMs): boolean {
		if (version <= this.version) {
			return false;
		}

		this.versions = [...this.versions, {version, announcedAt: now, exclusiveFrom: now + graceMs as MonotonicMs}].slice(-maximumAnnouncedVersions);
		return true;
	}

	/** Whether a new call may start on `version`. */
	allowsNewCalls(version: number, now: MonotonicMs): boolean {
		return !this.versions.some(announced => announced.version > version && now >= announced.exclusiveFrom);
	}

	/** Whether answers of `version` are stale because a newer version has replaced it. */
	isStale(version: number, now: MonotonicMs): boolean {
		return this.versions.some(announced => announced.version > version && now - announced.announcedAt > staleGraceMs);
	}
}
