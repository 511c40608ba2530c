/** Dependencies that all forwarded calls of an instance share. */

import type {AdmissionQueues} from '../../admission/admission-queues/index.js';
import type {Clock} from '../../clock/clock/index.js';
import type {PlacementPolicy} from '../../fleet/placement-policy/index.js';
import type {PrefixDirectory} from '../../fleet/prefix-directory/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {DataCentreId, OrganisationId} from '../../identity/ids/index.js';
import type {LimitGate} from '../../limits/limit-gate/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {WeightsVersionHistory} from '../../rollout/weights-version-history/index.js';
import type {RetryGate} from '../../retries/retry-gate/index.js';
import type {
	CacheStore, CallerOrganisation, Service, ServiceId,
} from '../../routing/routing-types/index.js';
import type {LeavingAnnouncer} from '../../statements/leaving-notices/index.js';
import type {TargetProtocol} from '../call-types/index.js';
import type {PromptGuard} from '../prompt-guard/index.js';
import type {ReachabilityMonitor} from '../reachability-monitor/index.js';
import type {RequestGuard} from '../request-guard/index.js';
import type {StreamOrigins} from '../stream-origins/index.js';
import type {TargetClient} from '../target-client/index.js';
import type {VersionRouting} from '../version-routing/index.js';

/** Admits calls by charging them to the quota of their organisation. */
export type QuotaGate = {
	/** Charges tokens; resolves to whether enough were available. */
	charge(organisation: CallerOrganisation, tokens: number): Promise<boolean>;
	/** Refunds the tokens of a call that did not run. */
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

/** Dependencies shared by all calls. */
export type ForwardingContext = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly fleet: TargetFleet;
	readonly prefixes: PrefixDirectory;
	readonly targetClient: TargetClient;
	readonly protocol: TargetProtocol;
	readonly quota: QuotaGate;
	/** Without a guard, every prompt is sent. */
	readonly promptGuard?: PromptGuard;
	/** Without a guard, every request is sent. */
	readonly requestGuard?: RequestGuard;
	/** Without queues, each call that waits for a target looks for one by itself. */
	readonly admission?: AdmissionQueues | undefined;
	readonly limits: LimitGate;
	readonly leavingNotices: LeavingAnnouncer;
	readonly streamOrigins: StreamOrigins;
	readonly reachability: ReachabilityMonitor;
	/** Without it, calls go to targets of any software version. */
	readonly versionRouting?: VersionRouting | undefined;
	readonly dataCentre: DataCentreId;
	/** Returns how targets are compared; undefined for a comparison by reported loads. */
	readonly readPlacementPolicy?: () => PlacementPolicy | undefined;
	/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
	readonly draw: () => number;
	/** Finds the history of the weights versions announced for a model; undefined when there are none. */
	readonly findVersionHistory: (model: string) => WeightsVersionHistory | undefined;
	readonly findRetryBudget: (service: ServiceId) => RetryGate;
	readonly findService: (service: ServiceId) => Service | undefined;
	/** Finds the namespace of an organisation's cache entries in the configuration in force; undefined stands for a call without one. */
	readonly findCacheNamespace: (organisation: OrganisationId | undefined) => string;
	readonly listCacheStores: () => readonly CacheStore[];
	readonly report: (report: CallReport) => void;
};
