/** Calculates how long a new holder of the rollout lease waits before its first order. */

import type {MonotonicMs} from '../../identity/ids/index.js';
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
export function calculateOrderPauseMs(predecessor: LeaseRecord): number {
	return predecessor.holder === ''
		? Math.max(0, minimumOrderPauseMs - (predecessor.unusedMs ?? 0) + orderPauseMarginMs)
		: minimumOrderPauseMs + maximumRenewalAgeMs + orderPauseMarginMs - rolloutLeaseMs;
}

/**
 * Calculates the last time at which holders before the one that acquired the lease at `now` may have sent an order. An earlier
 * process of the same machine may have done so until its end.
 */
export function calculateLastOrderAt({unusedMs = 0}: LeaseRecord, usableFrom: MonotonicMs, now: MonotonicMs): MonotonicMs {
	return (usableFrom > now ? usableFrom - minimumOrderPauseMs - orderPauseMarginMs : now - unusedMs) as MonotonicMs;
}
