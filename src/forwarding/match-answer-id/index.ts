/**
 * Tells whose answer a head is. A faulty target may send an earlier answer once more on a kept connection; what it says, a
 * refusal included, holds for the request that it names and says nothing about the one that waits.
 */

import type {RequestId} from '../../identity/ids/index.js';

/** `none`: the answer names no request, as a refusal that was sent before the request's head had been read. */
export type AnswerOwner = 'own' | 'other' | 'none';

/** Matches the request ids in an answer with the id of the call that waits for it. */
export function matchAnswerId(ids: readonly string[], expected: RequestId): AnswerOwner {
	if (ids.length === 0) {
		return 'none';
	}

	return ids.every(id => id === expected) ? 'own' : 'other';
}
