/** Takes over a version of weights that the platform names. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {AnnouncementAge, WeightsRegistry} from '../../rollout/weights-registry/index.js';
import type {WeightsNotice} from '../platform-adapter/index.js';

/** Named weights, and when they were named. */
export type NamedWeights = {readonly notice: WeightsNotice; readonly age: AnnouncementAge};

/** Adds the version to the registry, and logs it if it is new. */
export function applyNamedWeights({notice: {model, version}, age}: NamedWeights, registry: WeightsRegistry, logger: EventLogger, now: MonotonicMs): void {
	if (registry.addVersion(model, version, age, now)) {
		const exclusiveFrom = registry.find(model)?.readExclusiveFrom() ?? now;
		logger.info('weights named', {
			model, version, maximumAgeMs: age.maximumMs && Math.round(age.maximumMs), oldWeightsForMs: Math.round(exclusiveFrom - now),
		});
	}
}
