/** Remembers which content each revision had, to detect a revision with two contents. */

import {LRUCache} from 'lru-cache';
import type {Revision} from '../../identity/ids/index.js';
import type {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import type {ConfigurationHead, ContentHash} from '../configuration-head/index.js';

const keptRevisions = 256;

/** Contents of recent revisions. */
export class RevisionLedger {
	private readonly contents = new LRUCache<Revision, ContentHash>({max: keptRevisions});

	constructor(private readonly invariants: InvariantChecker) {}

	/** Records a head; returns false, after counting the violation, when its revision is known with another content. */
	record(head: ConfigurationHead): boolean {
		const known = this.contents.get(head.revision);
		const isSame = known === undefined || known === head.contentHash;
		this.invariants.check('oneContentPerRevision', isSame, `revision ${head.revision} has the contents ${known} and ${head.contentHash}`);
		if (known === undefined) {
			this.contents.set(head.revision, head.contentHash);
		}

		return isSame;
	}
}
