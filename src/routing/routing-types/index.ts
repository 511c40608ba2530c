/** What operators declare for calls: routes, services, organisations and limits, as one accepted revision. */

import type {
	Branded, KeyHash, OrganisationId, Revision, RouteId,
} from '../../identity/ids/index.js';

/** Name of a group of targets that serve the same calls. */
export type ServiceId = Branded<string, 'ServiceId'>;

/**
 * What may be repeated. `idempotent` calls may run more than once, `nonIdempotent` calls at most once,
 * `streaming` calls at most once unless their route is resumable.
 */
export type CallKind = 'idempotent' | 'nonIdempotent' | 'streaming';

/** Part of a route's calls that goes to one service. */
export type ServiceShare = {readonly service: ServiceId; readonly weight: number};

/** Rule for the calls of one host below one path. */
export type Route = {
	readonly id: RouteId;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: CallKind;
	/** Whether another target may continue a stream that broke off. */
	readonly isResumable: boolean;
	/** Longest time until the final answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Time within which an answer is on time, in milliseconds. */
	readonly latencyGoalMs: number;
	/** Rank of urgency; 0 is the most urgent. */
	readonly priority: number;
	readonly shares: readonly ServiceShare[];
	/** Targets that may run one call. */
	readonly maximumAttempts: number;
	/** Whether callers need no key. */
	readonly isOpen: boolean;
};

/** Token quota of an organisation over all instances. */
export type TokenQuota = {
	readonly tokensPerSecond: number;
	readonly burstTokens: number;
	/** Tokens charged for a call that names no token counts. */
	readonly plainCallTokens: number;
	/** Whether calls count by their tokens; else each counts as `plainCallTokens`. */
	readonly countsTokens: boolean;
};

/** A caller organisation. */
export type CallerOrganisation = {
	readonly id: OrganisationId;
	readonly keyHashes: readonly KeyHash[];
	/** Replaces the priority of the route. */
	readonly priority: number | undefined;
	/** Whether cache entries are shared with no other organisation. */
	readonly isIsolated: boolean;
	/** Undefined: no limit. */
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
	/** Tokens that running calls and cached prefixes share. */
	readonly memoryTokens: number;
	readonly models: readonly string[];
};

/** A service and what is known of its targets in general. */
export type Service = {
	readonly id: ServiceId;
	/** Connections that one target takes from all instances together. */
	readonly maximumConnections: number;
	/** Undefined for a plain service. */
	readonly engine: EngineTraits | undefined;
};

/** Limits on what callers send. */
export type CallerLimits = {
	readonly maximumBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** One accepted revision as a whole. */
export type RoutingConfiguration = {
	readonly revision: Revision;
	readonly routes: readonly Route[];
	readonly services: readonly Service[];
	readonly cacheStores: readonly CacheStore[];
	readonly organisations: readonly CallerOrganisation[];
	readonly limits: CallerLimits;
};
