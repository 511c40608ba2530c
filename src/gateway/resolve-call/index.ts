/** Finds what the configuration says of a call: its route and the organisation of its caller. */

import type {InboundCall} from '../../forwarding/call-types/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import type {RoutingTable} from '../../routing/routing-table/index.js';
import type {CallerOrganisation, Route} from '../../routing/routing-types/index.js';

/** A call that may be served, and what one configuration says of it. */
export type ResolvedCall = {
	readonly call: InboundCall;
	readonly table: RoutingTable;
	readonly route: Route;
	/** Undefined if the route is open and the caller sent no valid key. */
	readonly organisation: CallerOrganisation | undefined;
};

/** Throws a `RouterError` if the call may not be served by `table`, or if there is no configuration yet. */
export function resolveCall(call: InboundCall, table: RoutingTable | undefined): ResolvedCall {
	if (table === undefined) {
		throw createRouterError('notReady', undefined, {retryAfterSeconds: 0.2});
	}

	const route = table.findRoute(call.host, call.path);
	if (route === undefined) {
		throw createRouterError('notFound');
	}

	const organisation = call.key === undefined ? undefined : table.findOrganisationByKey(hashKey(call.key));
	const needsKey = !route.isOpen && table.configuration.organisations.length > 0;
	if (organisation === undefined && needsKey) {
		throw createRouterError('unauthenticated');
	}

	return {
		call, table, route, organisation,
	};
}
