/**
 * Versions of a model's weights in the order in which they were named. A version may be named before
 * the one before it is in place everywhere, and each counts from its own time on.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';

type NamedVersion = {readonly version: number; readonly namedAt: MonotonicMs; readonly exclusiveFrom: number};

/** Time after a version is named for which answers on older weights keep their value, in milliseconds. */
const valueGraceMs = 1200;
/** Versions kept; older ones are covered by those that follow. */
const maximumVersions = 16;

/** All named versions of one model. */
export class NamedWeights {
	private versions: NamedVersion[] = [];

	/** Newest version, 0 for none. */
	get version(): number {
		return this.versions.at(-1)?.version ?? 0;
	}

	/** Notes a version; no call may begin on older ones from `graceMs` after `now` on. Returns whether it is newer than all. */
	note(version: number, graceMs: number, now: MonotonicMs): boolean {
		if (version <= this.version) {
			return false;
		}

		this.versions = [...this.versions, {version, namedAt: now, exclusiveFrom: now + graceMs}].slice(-maximumVersions);
		return true;
	}

	/** Whether a call may begin on `version`. */
	allows(version: number, now: MonotonicMs): boolean {
		return !this.versions.some(named => named.version > version && now >= named.exclusiveFrom);
	}

	/** Whether answers on `version` have lost value. */
	isDevalued(version: number, now: MonotonicMs): boolean {
		return this.versions.some(named => named.version > version && now - named.namedAt > valueGraceMs);
	}
}
