/** Creates the components that control the load of a gateway: admission queues, retry budgets, limits of callers, and the comparison of targets. */

import type {AdmissionQueues} from '../../admission/admission-queues/index.js';
import type {Clock} from '../../clock/clock/index.js';
import {learnedLoadPolicy} from '../../fleet/learned-load-policy/index.js';
import type {PlacementPolicy} from '../../fleet/placement-policy/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {CallListenerOptions} from '../call-listener/index.js';
import {createAdmission} from '../create-admission/index.js';
import {createIntake} from '../create-intake/index.js';
import {createRetryGauges} from '../create-retry-gauges/index.js';
import type {GatewayGauges, GatewayMetrics} from '../gateway-metrics/index.js';
import {LoadGauges} from '../load-gauges/index.js';
import {ServiceRetryBudgets} from '../service-retry-budgets/index.js';
import type {SettingsStore} from '../settings-store/index.js';

/** Dependencies. */
export type TrafficControlOptions = {
	readonly settings: SettingsStore;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly metrics: GatewayMetrics;
	readonly fleet: TargetFleet;
	readonly startedAt: MonotonicMs;
	readonly countInstances: () => number;
};

/** Components that control the load of one gateway. */
export type TrafficControl = {
	/** Undefined if calls without a target don't queue. */
	readonly admission: AdmissionQueues | undefined;
	readonly retryBudgets: ServiceRetryBudgets;
	readonly intakeOptions: Pick<CallListenerOptions, 'intake' | 'maximumConnections'>;
	/** Sources of gauges for `listGauges`. */
	readonly gaugeSources: ReadonlyArray<{readonly gauges: GatewayGauges}>;
	/** Returns how targets are compared; undefined for the default. */
	readonly readPlacementPolicy: () => PlacementPolicy | undefined;
	/** Describes queues and budgets for the dump of the instance. */
	dump(now: MonotonicMs): Record<'admission' | 'retries', unknown>;
};

/** Creates the parts. Those that the settings don't ask for are left out. */
export function createTrafficControl(options: TrafficControlOptions): TrafficControl {
	const {settings, clock, logger, fleet, startedAt, countInstances} = options;
	const admission = createAdmission(options);
	const retryBudgets = new ServiceRetryBudgets(() => settings.current.retryBudget, countInstances, startedAt);
	const intakeOptions = createIntake(settings.current, clock, logger);
	return {
		admission, retryBudgets, intakeOptions,
		gaugeSources: [intakeOptions.intake, createRetryGauges(retryBudgets, clock), new LoadGauges(fleet, clock)],
		readPlacementPolicy: () => settings.current.evenLoad ? learnedLoadPolicy : undefined,
		dump: now => ({admission: admission?.dump(), retries: retryBudgets.dump(now)}),
	};
}
