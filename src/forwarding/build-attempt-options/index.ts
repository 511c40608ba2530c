/** Builds what a target is told beside the call itself. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {DataCentreId} from '../../identity/ids/index.js';
import type {CacheStore, CallerOrganisation, Route} from '../../routing/routing-types/index.js';
import type {AttemptOptions, InboundCall} from '../call-types/index.js';
import type {PrefixHints} from '../prefix-hints/index.js';

/** What an attempt consists of. */
export type AttemptPlan = {
	readonly call: InboundCall;
	readonly route: Route;
	readonly organisation: CallerOrganisation | undefined;
	readonly target: FleetTarget;
	readonly hints: PrefixHints;
	readonly remainingMs: number;
	readonly lastEventId: string | undefined;
	readonly cacheStores: readonly CacheStore[];
	/** Data centre of this instance. */
	readonly dataCentre: DataCentreId;
};

const lowestPriority = 9;

/** Builds the options of an attempt. Only prompts with a long shared part use the cache store, which short ones would fill. */
export function buildAttemptOptions(plan: AttemptPlan): AttemptOptions {
	const {call, route, organisation, target, hints, cacheStores, dataCentre} = plan;
	const store = hints.sharedPrefix === undefined ? undefined : cacheStores.find(item => item.dataCentre === dataCentre) ?? cacheStores[0];
	return {
		target, route,
		organisation: organisation?.id,
		remainingMs: plan.remainingMs,
		weightsVersion: call.work === undefined ? undefined : target.readVersion(call.work.model),
		cacheScope: hints.formatScope(target),
		priority: Math.min(organisation?.priority ?? route.priority, lowestPriority),
		cacheSource: store?.address,
		cacheDestination: store?.address,
		lastEventId: plan.lastEventId,
	};
}
