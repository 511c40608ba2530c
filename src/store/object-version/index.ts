/**
 * Versions of an object API: a revision that increases with each change, and the era of the history that counts it.
 *
 * The era rises each time the object API is restored from a copy. Revisions then go back and are given out again for other
 * changes, so only versions of the same era compare by revision. In era 0, a version is its revision alone.
 */

import type {ResourceVersion} from '../../identity/ids/index.js';

/** Parts of a version. */
export type VersionParts = {readonly era: number; readonly revision: number};

const separator = ':';

/** Formats a version. */
export function formatVersion({era, revision}: VersionParts): ResourceVersion {
	return (era === 0 ? String(revision) : `${era}${separator}${revision}`) as ResourceVersion;
}

/** Parses a version. */
export function parseVersion(version: string): VersionParts {
	const [first, second] = version.split(separator);
	return second === undefined ? {era: 0, revision: Number(first)} : {era: Number(first), revision: Number(second)};
}

/** Whether `version` is later than `other`. Any version is later than an absent one. */
export function isLaterVersion(version: string, other: string | undefined): boolean {
	if (other === undefined || other === '') {
		return true;
	}

	const [a, b] = [parseVersion(version), parseVersion(other)];
	return a.era === b.era ? a.revision > b.revision : a.era > b.era;
}
