/** The latest removals from a collection, for holders of older copies. */

import {isLaterVersion} from '../is-later-version/index.js';

/** Removals kept; holders of copies older than these get the whole collection. */
const maximumRemovals = 256;

type Removal = {readonly name: string; version: string | undefined};

/** Names of removed objects with the version at which each was missing first. */
export class RemovalLog {
	private readonly removals: Removal[] = [];
	/** Version from which on no removal is missing from the log; undefined before the first copy. */
	private completeSince: string | undefined;

	/** Notes a removal. It counts for the version that `setVersion` states next, since the version of a removed object can be an older one. */
	add(name: string): void {
		this.removals.push({name, version: undefined});
		while (this.removals.length > maximumRemovals) {
			const {version} = this.removals.shift()!;
			this.completeSince = version ?? this.completeSince;
		}
	}

	/** States the version of the copy after the removals that were noted last. */
	setVersion(version: string): void {
		this.completeSince ??= version;
		for (const removal of this.removals) {
			removal.version ??= version;
		}
	}

	/** Lists the names removed after `since`; undefined when the log does not reach back that far. */
	listSince(since: string): string[] | undefined {
		if (this.completeSince === undefined || isLaterVersion(this.completeSince, since)) {
			return undefined;
		}

		return this.removals.filter(({version}) => version === undefined || isLaterVersion(version, since)).map(({name}) => name);
	}
}
