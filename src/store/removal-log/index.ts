/** Log of the latest removals from a collection, from which older copies are updated. */

import {isLaterVersion} from '../object-version/index.js';

/** Maximum number of retained removals. An older copy needs the whole collection. */
const maximumRemovals = 256;

type Removal = {readonly name: string; version: string | undefined};

/** Names of the removed objects, each with the first version that no longer contains it. */
export class RemovalLog {
	private readonly removals: Removal[] = [];
	/** The log contains all removals after this version. Undefined before the first call of `setVersion`. */
	private completeSince: string | undefined;

	/**
	 * Records a removal. It gets the version of the next call of `setVersion`, since the version of the removed
	 * object can be older.
	 */
	add(name: string): void {
		this.removals.push({name, version: undefined});
		while (this.removals.length > maximumRemovals) {
			const {version} = this.removals.shift()!;
			this.completeSince = version ?? this.completeSince;
		}
	}

	/** Sets the version of the copy, which is assigned to the removals recorded since the previous call. */
	setVersion(version: string): void {
		this.completeSince ??= version;
		for (const removal of this.removals) {
			removal.version ??= version;
		}
	}

	/** Lists the names removed after `since`. Returns undefined if the log does not reach back that far. */
	listSince(since: string): string[] | undefined {
		if (this.completeSince === undefined || isLaterVersion(this.completeSince, since)) {
			return undefined;
		}

		return this.removals.filter(({version}) => version === undefined || isLaterVersion(version, since)).map(({name}) => name);
	}
}
