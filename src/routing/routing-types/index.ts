/** Types of the routing configuration that operators declare: routes, services, organisations and limits. */

import type {
	Branded, KeyHash, OrganisationId, Revision, RouteId,
} from '../../identity/ids/index.js';

/** Name of a group of targets that serve the same calls. */
export type ServiceId = Branded<string, 'ServiceId'>;

/**
 * Whether calls may be repeated. `idempotent` calls may run more than once, `nonIdempotent` calls at most once,
 * `streaming` calls at most once unless their route is resumable.
 */
export type CallKind = 'idempotent' | 'nonIdempotent' | 'streaming';

/** Share of a route's calls that goes to one service, in proportion to `weight`. */
export type ServiceShare = {readonly service: ServiceId; readonly weight: number};

/** Rule for the calls to one host below one path prefix. */
export type Route = {
	readonly id: RouteId;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: CallKind;
	/** Whether another target may resume a broken stream. */
	readonly isResumable: boolean;
	/** Maximum time until the final answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Latency objective of an answer, in milliseconds. */
	readonly latencyGoalMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly shares: readonly ServiceShare[];
	/** Maximum number of attempts that may have run one call; attempts that did not run it are not counted. */
	readonly maximumAttempts: number;
	/** Whether callers may omit the API key. */
	readonly isOpen: boolean;
};

/** Token quota of an organisation over all instances. */
export type TokenQuota = {
	readonly tokensPerSecond: number;
	readonly burstTokens: number;
	/** Tokens charged for a call that does not state token counts. */
	readonly plainCallTokens: number;
	/** Whether calls are charged by their token counts; otherwise each is charged `plainCallTokens`. */
	readonly countsTokens: boolean;
};

/** A caller organisation. */
export type CallerOrganisation = {
	readonly id: OrganisationId;
	readonly keyHashes: readonly KeyHash[];
	/** Overrides the priority of the route. */
	readonly priority: number | undefined;
	/** Whether its cache entries are not shared with other organisations. */
	readonly isIsolated: boolean;
	/** Undefined for no limit. */
	readonly quota: TokenQuota | undefined;
};

/** A store of cache entries that engines read from and write to. */
export type CacheStore = {
	/** `host:port`. */
	readonly address: string;
};

/** Properties of a service's engines. */
export type EngineTraits = {
	readonly slots: number;
	/** Capacity of the KV cache in tokens, shared by running calls and cached prefixes. */
	readonly memoryTokens: number;
	readonly models: readonly string[];
};

/** A service and the common properties of its targets. */
export type Service = {
	readonly id: ServiceId;
	/** Maximum number of connections that one target accepts from all instances together. */
	readonly maximumConnections: number;
	/** Undefined for a service without inference engines. */
	readonly engine: EngineTraits | undefined;
};

/** Limits on what callers send. */
export type CallerLimits = {
	readonly maximumBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One accepted revision of the routing configuration. */
export type RoutingConfiguration = {
	readonly revision: Revision;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly cacheStores: readonly CacheStore[];
	readonly organisations: readonly CallerOrganisation[];
	readonly limits: CallerLimits;
};
