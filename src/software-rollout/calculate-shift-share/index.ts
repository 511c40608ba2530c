/** Calculates the share of the calls of a service that an instance sends to the new version. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {RolloutStatus} from '../rollout-types/index.js';

/** Time over which the share rises to 1 in stage `shift`, in milliseconds. Until its end, a version that fails under load gets less. */
export const rampMs = 300;

/** What an instance knows of a rollout. */
export type KnownShift = {
	/** Undefined until the first status of the order is known. */
	readonly status: Pick<RolloutStatus, 'state' | 'stage' | 'share'> | undefined;
	/** When the instance learned of the present stage. */
	readonly stageSince: MonotonicMs;
	/** Whether an instance has judged the version to be bad. */
	readonly isStopped: boolean;
	/** Whether the instance has not heard of a lease holder for so long that it may have missed a stop. */
	readonly isHolderSilent: boolean;
};

/** Calculates the share at `now`, from 0 to 1. A completed rollout has no other version to send to. */
export function calculateShiftShare({status, stageSince, isStopped, isHolderSilent}: KnownShift, now: MonotonicMs): number {
	if (status === undefined || status.state === 'rolledBack') {
		return 0;
	}

	if (status.state === 'completed') {
		return 1;
	}

	if (isStopped || isHolderSilent) {
		return 0;
	}

	if (status.stage === 'canary') {
		return status.share;
	}

	const progress = Math.min(1, Math.max(0, (now - stageSince) / rampMs));
	return status.share + ((1 - status.share) * progress);
}
