/** Logs what an instance has learned about rollouts. */

import type {EventLogger} from '../../logging/create-logger/index.js';
import type {KnownRollout} from '../order-register/index.js';
import type {RolloutStatus} from '../rollout-types/index.js';

/** Logs new orders and new statuses. `before`: the status of each rollout that was known before. */
export function logRolloutChanges(logger: EventLogger, before: ReadonlyMap<KnownRollout, RolloutStatus | undefined>, rollouts: readonly KnownRollout[]): void {
	for (const rollout of rollouts) {
		const {order: {service, target, durationMs}, number, status, isListed, previous} = rollout;
		if (!before.has(rollout)) {
			logger.info('software rollout ordered', {
				service, target, durationMs, order: number, previous: previous?.join(','),
			});
		}

		if (status !== undefined && before.get(rollout) !== status) {
			logger.info('software rollout stage known', {
				service, target, order: number, state: status.state, stage: status.stage, share: status.share, isListed,
			});
		}
	}
}
