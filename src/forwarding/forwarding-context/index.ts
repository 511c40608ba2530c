/** What all forwarded calls of an instance share. */

import type {Clock} from '../../clock/clock/index.js';
import type {WantedWeights} from '../../fleet/choose-target/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {DataCentreId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {RetryBudget} from '../../requests/retry-budget/index.js';
import type {CacheStore, CallerOrganisation, ServiceId} from '../../routing/routing-types/index.js';
import type {TargetProtocol} from '../call-types/index.js';
import type {ConnectionPool} from '../connection-pool/index.js';

/** Admission of calls under the quota of their organisation. */
export type QuotaGate = {
	/** Charges tokens; resolves to whether they were available. */
	charge(organisation: CallerOrganisation, tokens: number): Promise<boolean>;
	/** Returns the tokens of a call that did not run. */
	refund(organisation: CallerOrganisation, tokens: number): void;
};

/** How a call ended, for logs and metrics. */
export type CallReport = {
	readonly outcome: string;
	readonly status: number;
	readonly durationMs: number;
	readonly route: string;
	readonly attempts: number;
};

/** Shared parts. */
export type ForwardingContext = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly fleet: TargetFleet;
	readonly pool: ConnectionPool;
	readonly protocol: TargetProtocol;
	readonly quota: QuotaGate;
	readonly dataCentre: DataCentreId;
	/** From 0 up to, not including, 1. */
	readonly draw: () => number;
	/** Newest weights that were named for a model. */
	readonly readWantedWeights: (model: string) => WantedWeights | undefined;
	readonly findRetryBudget: (service: ServiceId) => RetryBudget;
	readonly listCacheStores: () => readonly CacheStore[];
	readonly report: (report: CallReport) => void;
};
