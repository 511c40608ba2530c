/** Keeps the routing table of the configuration in force. */

import type {OrganisationId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {CacheNamespaces} from '../../routing/cache-namespaces/index.js';
import {RoutingTable} from '../../routing/routing-table/index.js';
import type {RoutingConfiguration} from '../../routing/routing-types/index.js';

const noNamespaces = new CacheNamespaces([]);

/** Routing table of one instance, undefined until the first configuration has arrived. */
export class CurrentRouting {
	/** The table, also while calls have to wait. */
	table: RoutingTable | undefined;
	/** Whether calls have been refused for want of a configuration. */
	isMissed = false;

	/** `canServe`: whether calls need not wait for other collections. */
	constructor(private readonly canServe: () => boolean, private readonly logger: EventLogger) {}

	/** Brings a configuration in force. Returns its table. */
	apply(configuration: RoutingConfiguration): RoutingTable {
		const previous = this.table?.cacheNamespaces.shared;
		this.table = new RoutingTable(configuration);
		const {shared} = this.table.cacheNamespaces;
		if (previous !== shared) {
			this.logger.info('shared cache namespace set', {revision: configuration.revision, namespace: shared, previous});
		}

		return this.table;
	}

	/** Finds the namespace of an organisation's cache entries in the configuration in force, also for calls that began before it. */
	findCacheNamespace(organisation: OrganisationId | undefined): string {
		return (this.table?.cacheNamespaces ?? noNamespaces).find(organisation);
	}

	/** Returns the table for a call, and notes when there is none yet. */
	readForCall(): RoutingTable | undefined {
		this.isMissed ||= this.table === undefined;
		return this.findUsable();
	}

	/** Finds the table, unless calls have to wait for other collections. */
	findUsable(): RoutingTable | undefined {
		return this.canServe() ? this.table : undefined;
	}
}
