/** Compares what calls need of a target. */

import type {CallNeeds} from '../queued-call/index.js';

/** Whether each target that may serve a call with the needs `other` may serve one with `needs`, if both have room. */
export function coversTargets(needs: CallNeeds, other: CallNeeds): boolean {
	return needs.model === other.model && (needs.software === undefined || needs.software === other.software);
}

/** Whether all room that a call with the needs `other` can use is room for one with `needs`, too. */
export function coversNeeds(needs: CallNeeds, other: CallNeeds): boolean {
	return coversTargets(needs, other) && needs.memoryTokens <= other.memoryTokens;
}
