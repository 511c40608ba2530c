/** Keeps the routing table of the configuration in force. */

import {RoutingTable} from '../../routing/routing-table/index.js';
import type {RoutingConfiguration} from '../../routing/routing-types/index.js';

/** Routing table of one instance, undefined until the first configuration has arrived. */
export class CurrentRouting {
	/** The table, also while calls have to wait. */
	table: RoutingTable | undefined;
	/** Whether calls have been refused for want of a configuration. */
	isMissed = false;

	/** `canServe`: whether calls need not wait for other collections. */
	constructor(private readonly canServe: () => boolean) {}

	/** Brings a configuration in force. Returns its table. */
	apply(configuration: RoutingConfiguration): RoutingTable {
		this.table = new RoutingTable(configuration);
		return this.table;
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
