/** Calculates how long a new holder of the rollout lease waits before its first order. */

import type {LeaseRecord} from '../../leases/lease/index.js';

/** Duration of the rollout lease, in milliseconds. */
export const rolloutLeaseMs = 3000;
/**
 * Maximum age of the last confirmed renewal for which the holder sends orders. As it is shorter than the lease,
 * a successor may send its first order earlier by the difference.
 */
export const maximumRenewalAgeMs = 1500;
/** Minimum time between the last order of one holder and the first order of the next, in milliseconds. */
const minimumOrderPauseMs = rolloutLeaseMs;
const orderPauseMarginMs = 400;

/**
 * Calculates the pause of a new holder before its first order. A predecessor that didn't release the lease may have
 * sent orders until `maximumRenewalAgeMs` after its last renewal.
 */
export function calculateOrderPauseMs(predecessor: LeaseRecord | undefined): number {
	if (predecessor === undefined) {
		return 0;
	}

	return predecessor.holder === ''
		? Math.max(0, minimumOrderPauseMs - (predecessor.unusedMs ?? 0) + orderPauseMarginMs)
		: minimumOrderPauseMs + maximumRenewalAgeMs + orderPauseMarginMs - rolloutLeaseMs;
}
