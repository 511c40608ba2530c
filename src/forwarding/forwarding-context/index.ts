/** What all forwarded calls of an instance share. */

import type {Clock} from '../../clock/clock/index.js';
import type {PrefixDirectory} from '../../fleet/prefix-directory/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {DataCentreId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {NamedWeights} from '../../rollout/named-weights/index.js';
import type {RetryBudget} from '../../requests/retry-budget/index.js';
import type {
	CacheStore, CallerOrganisation, Service, ServiceId,
} from '../../routing/routing-types/index.js';
import type {TargetProtocol} from '../call-types/index.js';
import type {TargetExchange} from '../target-exchange/index.js';

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
	readonly prefixes: PrefixDirectory;
	readonly exchange: TargetExchange;
	readonly protocol: TargetProtocol;
	readonly quota: QuotaGate;
	readonly dataCentre: DataCentreId;
	/** From 0 up to, not including, 1. */
	readonly draw: () => number;
	/** Weights that were named for a model. */
	readonly findNamedWeights: (model: string) => NamedWeights | undefined;
	readonly findRetryBudget: (service: ServiceId) => RetryBudget;
	readonly findService: (service: ServiceId) => Service | undefined;
	readonly listCacheStores: () => readonly CacheStore[];
	readonly report: (report: CallReport) => void;
};
