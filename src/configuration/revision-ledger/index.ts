/** Records the content hash of each revision, to detect two different contents under one revision. */

import {LRUCache} from 'lru-cache';
import type {Revision} from '../../identity/ids/index.js';
import type {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import type {ConfigurationHead, ContentHash} from '../configuration-head/index.js';

const maximumRevisions = 256;

/** Content hashes of recent revisions. */
export class RevisionLedger {
	private readonly contentHashes = new LRUCache<Revision, ContentHash>({max: maximumRevisions});

	constructor(private readonly invariants: InvariantChecker) {}

	/** Records a head. Reports a violated invariant and returns false if its revision was recorded with another content. */
	record(head: ConfigurationHead): boolean {
		const recordedHash = this.contentHashes.get(head.revision);
		const isSame = recordedHash === undefined || recordedHash === head.contentHash;
		this.invariants.check('oneContentPerRevision', isSame, `revision ${head.revision} has the contents ${recordedHash} and ${head.contentHash}`);
		if (recordedHash === undefined) {
			this.contentHashes.set(head.revision, head.contentHash);
		}

		return isSame;
	}
}
