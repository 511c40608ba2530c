/** Wires the fleet budgets into the daemon. */

import {FleetBudget} from '../../budget/fleet-budget/index.js';
import type {DaemonCore} from '../create-core/index.js';

/** Registers the part `budget`. */
export function registerBudget({clock, objectApi, peerClient, peerServer, membership, logger, metrics, invariants, parts}: DaemonCore): FleetBudget {
	const budget = new FleetBudget({
		incarnation: membership.readSelf().incarnation, clock, objectApi, logger, invariants,
		peers: peerClient, methods: peerServer, members: membership, registry: metrics.registry,
	});
	parts.register({
		name: 'budget',
		start() {
			budget.start();
		},
		stop: async () => budget.stop(),
		dump: () => budget.dump(),
	});
	return budget;
}

