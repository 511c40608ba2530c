/** Creates the admission queues of a gateway whose settings ask for them. */

import {AdmissionMetrics} from '../../admission/admission-metrics/index.js';
import {AdmissionQueues} from '../../admission/admission-queues/index.js';
import type {Clock} from '../../clock/clock/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {GatewayMetrics} from '../gateway-metrics/index.js';
import type {GatewaySettings} from '../gateway-settings/index.js';

/** Dependencies. */
export type AdmissionSources = {
	readonly settings: {readonly current: Pick<GatewaySettings, 'admission'>};
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly metrics: Pick<GatewayMetrics, 'registry'>;
	readonly fleet: TargetFleet;
};

/** Returns the queues; undefined if the settings don't ask for them at the start. Their limits follow the settings. */
export function createAdmission({settings, clock, logger, random, metrics, fleet}: AdmissionSources): AdmissionQueues | undefined {
	const limits = settings.current.admission;
	if (limits === undefined) {
		return undefined;
	}

	const queues: AdmissionQueues = new AdmissionQueues({
		clock, logger, fleet, recorder: new AdmissionMetrics(metrics.registry, () => queues.countByPriority()),
		draw: () => random.drawFraction(),
		readLimits: () => settings.current.admission ?? limits,
	});
	return queues;
}
