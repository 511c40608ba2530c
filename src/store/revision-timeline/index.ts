/**
 * Remembers when the object API was known to be at which version, and bounds the age of changes by it.
 *
 * An object has no time of its change, and an instance that stood still or whose watch was silent hears of the change
 * late. A change can't be older than the last answer that was given at an earlier version, whichever collection that
 * answer was about, because all collections share one sequence of versions.
 */

import {measureElapsedMs, shiftBack, type Instant} from '../../clock/instant/index.js';
import {isLaterVersion} from '../object-version/index.js';

/** A version that the object API had, and how long ago it was known to have it, in milliseconds. */
export type ConfirmedVersion = readonly [version: string, ageMs: number];

type Entry = {readonly version: string; readonly at: Instant};

/** Maximum number of entries; with several watches, they reach back for about a minute. */
const maximumEntries = 64;

/** Versions of the object API, with the last time at which each was known to be the present one. */
export class RevisionTimeline {
	private entries: Entry[] = [];

	/** Records that the object API was at `version` at the instant `at` or later. */
	record(version: string, at: Instant): void {
		const others = this.entries.filter(entry => entry.version !== version);
		const previous = this.entries.find(entry => entry.version === version);
		const latest = previous === undefined || measureElapsedMs(previous.at, at) > 0 ? at : previous.at;
		this.entries = [...others, {version, at: latest}].slice(-maximumEntries);
	}

	/** Records what another instance confirmed in an answer to a request that was sent at `sentAt`. */
	recordConfirmed(versions: readonly ConfirmedVersion[], sentAt: Instant): void {
		for (const [version, ageMs] of versions) {
			this.record(version, shiftBack(sentAt, ageMs));
		}
	}

	/** Measures the maximum age of a change that was made at `version`, in milliseconds; undefined when no earlier version is known. */
	measureMaximumAgeMs(version: string, now: Instant): number | undefined {
		const ages = this.entries
			.filter(entry => isLaterVersion(version, entry.version))
			.map(entry => measureElapsedMs(entry.at, now));
		return ages.length === 0 ? undefined : Math.max(0, Math.min(...ages));
	}

	/** Measures the time since the object API is last known to have answered any instance, in milliseconds; infinite if it is not known. */
	measureSilenceMs(now: Instant): number {
		return Math.max(0, Math.min(...this.entries.map(({at}) => measureElapsedMs(at, now))));
	}

	/** Lists the `limit` versions recorded last, with their ages. */
	listRecent(limit: number, now: Instant): ConfirmedVersion[] {
		return this.entries.slice(-limit).map(({version, at}) => [version, Math.max(0, measureElapsedMs(at, now))]);
	}
}
