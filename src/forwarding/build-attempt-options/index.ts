/** Builds what the router sends to a target in addition to the call. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {SharedPrefix} from '../../fleet/target-query/index.js';
import {rankByHash} from '../../random/rank-by-hash/index.js';
import type {CacheStore, CallerOrganisation, Route} from '../../routing/routing-types/index.js';
import type {AttemptOptions, InboundCall} from '../call-types/index.js';
import type {PrefixHints} from '../prefix-hints/index.js';

/** Inputs from which the options of an attempt are built. */
export type AttemptContext = {
	readonly call: InboundCall;
	readonly route: Route;
	readonly organisation: CallerOrganisation | undefined;
	readonly target: FleetTarget;
	readonly hints: PrefixHints;
	readonly remainingMs: number;
	readonly lastEventId: string | undefined;
	readonly cacheStores: readonly CacheStore[];
};

/** Targets accept priorities from 0, the most urgent, to this one. */
const lowestPriority = 9;

/** Builds the options of an attempt. Only prompts with a long shared prefix use the cache store, because short ones would fill it. */
export function buildAttemptOptions(context: AttemptContext): AttemptOptions {
	const {call, route, organisation, target, hints, cacheStores} = context;
	const store = chooseCacheStore(hints.sharedPrefix, cacheStores);
	return {
		target, route,
		organisation: organisation?.id,
		remainingMs: context.remainingMs,
		weightsVersion: call.work === undefined ? undefined : target.readVersion(call.work.model),
		cacheScope: hints.formatCacheScope(target),
		priority: Math.min(organisation?.priority ?? route.priority, lowestPriority),
		cacheSource: store?.address,
		cacheDestination: store?.address,
		lastEventId: context.lastEventId,
	};
}

/**
 * Chooses the store of a prefix by rendezvous hashing, so that every instance chooses the same one.
 *
 * Load pattern: after new weights are announced, all engines fetch prefixes at once, and transfers from one store
 * queue behind each other. Prefixes are therefore spread over all stores.
 */
function chooseCacheStore(prefix: SharedPrefix | undefined, stores: readonly CacheStore[]): CacheStore | undefined {
	return prefix === undefined ? undefined : rankByHash(prefix.id, stores, store => store.address)[0];
}
