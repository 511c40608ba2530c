/**
 * Decides which request causes crashes.
 *
 * A crash breaks all requests of its target, so a sound one that is repeated can be in several crashes. Three facts tell
 * them apart. A complete answer to a request clears it of all crashes before. A crash that a known culprit explains speaks
 * against no other request. And repeats that are sent after a crash and break again say more than requests that were all
 * broken at one instant, as when all targets end for another reason.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {CompletionLog} from '../completion-log/index.js';
import type {Evaluation, Evidence, EvidenceRule} from '../crash-evidence/index.js';
import type {RequestKey} from '../request-key/index.js';

/** Crashes that identify a request. */
const requiredCrashes = 3;
/** Number of crashes with a request from which a call is not sent to a second target. */
const suspiciousCrashes = 2;

/** Rule for whole requests. */
export class RequestRule implements EvidenceRule<RequestKey> {
	constructor(private readonly completions: CompletionLog<RequestKey>) {}

	isCleared(request: RequestKey, crashedAt: MonotonicMs): boolean {
		return this.completions.hasCompletedSince(request, crashedAt);
	}

	/** Finds the request with the most crashes of those that enough crashes identify, and all that have as many. */
	findCulprits({evidenceByKey}: Evaluation<RequestKey>): Array<Evidence<RequestKey>> {
		const identified = [...evidenceByKey.values()]
			.filter(({crashList}) => crashList.length >= requiredCrashes)
			.toSorted((a, b) => this.compareEvidence(a, b));
		return identified.filter(({crashList}) => crashList.length === identified[0]!.crashList.length);
	}

	isSuspicious(requests: readonly RequestKey[], {evidenceByKey}: Evaluation<RequestKey>): boolean {
		return requests.some(request => (evidenceByKey.get(request)?.crashList.length ?? 0) >= suspiciousCrashes);
	}

	compareEvidence(a: Evidence<RequestKey>, b: Evidence<RequestKey>): number {
		return b.crashList.length - a.crashList.length || b.sequentialCrashes - a.sequentialCrashes;
	}
}
