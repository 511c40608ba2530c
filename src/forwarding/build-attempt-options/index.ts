/** Builds what a target is told beside the call itself. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {SharedPrefix} from '../../fleet/choose-target/index.js';
import {rankByHash} from '../../random/rank-by-hash/index.js';
import type {CacheStore, CallerOrganisation, Route} from '../../routing/routing-types/index.js';
import type {AttemptOptions, InboundCall} from '../call-types/index.js';
import type {PrefixHints} from '../prefix-hints/index.js';

/** What an attempt consists of. */
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

const lowestPriority = 9;

/** Builds the options of an attempt. Only prompts with a long shared part use the cache store, which short ones would fill. */
export function buildAttemptOptions(plan: AttemptContext): AttemptOptions {
	const {call, route, organisation, target, hints, cacheStores} = plan;
	const store = chooseStore(hints.sharedPrefix, cacheStores);
	return {
		target, route,
		organisation: organisation?.id,
		remainingMs: plan.remainingMs,
		weightsVersion: call.work === undefined ? undefined : target.readVersion(call.work.model),
		cacheScope: hints.formatCacheScope(target),
		priority: Math.min(organisation?.priority ?? route.priority, lowestPriority),
		cacheSource: store?.address,
		cacheDestination: store?.address,
		lastEventId: plan.lastEventId,
	};
}

/**
 * The store that keeps a prefix.
 *
 * Load pattern: after new weights are named, all engines fetch prefixes at once, and transfers of one store
 * wait for each other. So prefixes are spread over all stores, the same one for each prefix everywhere.
 */
function chooseStore(prefix: SharedPrefix | undefined, stores: readonly CacheStore[]): CacheStore | undefined {
	return prefix === undefined ? undefined : rankByHash(prefix.id, stores, store => store.address)[0];
}
