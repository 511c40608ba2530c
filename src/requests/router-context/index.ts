/** Dependencies of the request path on the rest of the daemon. */

import type {Dispatcher} from 'undici';
import type {BudgetGate} from '../../budget/budget-gate/index.js';
import type {Clock} from '../../clock/clock/index.js';
import type {Configuration} from '../../configuration/configuration/index.js';
import type {Settings} from '../../daemon/settings/index.js';
import type {EngineGate} from '../../fairness/engine-gate/index.js';
import type {CallerIntake} from '../../intake/caller-intake/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {RetryGate} from '../../retries/retry-gate/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import type {TargetDirectory} from '../../targets/target-directory/index.js';
import type {IdempotencyRecords} from '../idempotency-records/index.js';
import type {RequestMetrics} from '../request-metrics/index.js';

/** Instances that a caller may use, best first. */
export type AddressAnswer = {
	readonly instances: ReadonlyArray<{readonly id: string; readonly address: string; readonly data_centre: string}>;
	/** How long the caller may cache the answer, in seconds. */
	readonly valid_for_seconds: number;
};

/** Dependencies of the request path. */
export type RouterContext = {
	readonly settings: Settings;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly targets: TargetDirectory;
	/** Bounds what callers take while they send. */
	readonly intake: CallerIntake;
	readonly gate: EngineGate;
	readonly budget: BudgetGate;
	readonly metrics: RequestMetrics;
	readonly idempotency: IdempotencyRecords;
	/** Connection pool for calls of services that may be repeated. */
	readonly serviceConnections: Dispatcher;
	/** Finds the retry budget of a service, or of the engines of a base model. */
	findRetryBudget(service: ServiceId): RetryGate;
	/** Returns the current configuration; throws `notReady` or `isolated` if requests must be refused. */
	readConfiguration(): Configuration;
	/** Answers an address query of a caller in `dataCentre`, or of one that did not name its data centre. */
	chooseAddresses(dataCentre: string | undefined): AddressAnswer;
};
