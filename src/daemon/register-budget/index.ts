/** Wires the fleet budgets into the daemon. */

import {FleetBudget} from '../../budget/fleet-budget/index.js';
import type {DaemonCore} from '../create-core/index.js';

/** Registers the component `budget`. */
export function registerBudget({
	clock, objectApi, peerClient, peerServer, membership, logger, metrics, invariants, components,
}: DaemonCore): FleetBudget {
	const budget = new FleetBudget({
		incarnation: membership.readSelf().incarnation, clock, objectApi, logger, invariants,
		peers: peerClient, methods: peerServer, members: membership, registry: metrics.registry,
	});
	components.register({
		name: 'budget',
		start() {
			budget.start();
		},
		stop: async () => budget.stop(),
		dump: () => budget.dump(),
	});
	return budget;
}

