/** Lookups in an accepted routing configuration. */

import type {KeyHash, RouteId} from '../../identity/ids/index.js';
import {CacheNamespaces} from '../cache-namespaces/index.js';
import type {
	CallerOrganisation, Route, RoutingConfiguration, Service, ServiceId,
} from '../routing-types/index.js';

/** Immutable index of a routing configuration. */
export class RoutingTable {
	readonly cacheNamespaces: CacheNamespaces;
	private readonly routes = new Map<RouteId, Route>();
	private readonly routesByHost = new Map<string, Route[]>();
	private readonly organisationsByKey = new Map<KeyHash, CallerOrganisation>();
	private readonly services = new Map<ServiceId, Service>();

	constructor(readonly configuration: RoutingConfiguration) {
		this.cacheNamespaces = new CacheNamespaces(configuration.organisations);
		for (const route of configuration.routes) {
			const host = route.host.toLowerCase();
			this.routes.set(route.id, route);
			this.routesByHost.set(host, [...this.routesByHost.get(host) ?? [], route]);
		}

		for (const routes of this.routesByHost.values()) {
			routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}

		for (const organisation of configuration.organisations) {
			for (const hash of organisation.keyHashes) {
				this.organisationsByKey.set(hash, organisation);
			}
		}

		for (const service of configuration.services) {
			this.services.set(service.id, service);
		}
	}

	/** Finds the route of the host with the longest path prefix that matches `path`. */
	findRoute(host: string, path: string): Route | undefined {
		const hostName = host.toLowerCase();
		const routes = this.routesByHost.get(hostName) ?? this.routesByHost.get(hostName.replace(/:\d+$/u, ''));
		return routes?.find(route => path.startsWith(route.pathPrefix));
	}

	findRouteById(id: RouteId): Route | undefined {
		return this.routes.get(id);
	}

	findOrganisationByKey(hash: KeyHash): CallerOrganisation | undefined {
		return this.organisationsByKey.get(hash);
	}

	findService(id: ServiceId): Service | undefined {
		return this.services.get(id);
	}
}
