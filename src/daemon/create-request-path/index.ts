/** Creates the request path from the components of the daemon. */

import type {BudgetGate} from '../../budget/budget-gate/index.js';
import type {Configuration} from '../../configuration/configuration/index.js';
import {ServiceRetryBudgets} from '../../gateway/service-retry-budgets/index.js';
import {chooseAddresses} from '../../membership/choose-addresses/index.js';
import {EngineGate} from '../../fairness/engine-gate/index.js';
import {createPlacement} from '../../placement/create-placement/index.js';
import {createServiceConnections} from '../../requests/forward-call/index.js';
import {CallerIntake} from '../../intake/caller-intake/index.js';
import {IdempotencyRecords} from '../../requests/idempotency-records/index.js';
import {RequestMetrics} from '../../requests/request-metrics/index.js';
import type {AddressAnswer, RouterContext} from '../../requests/router-context/index.js';
import type {TargetDirectory} from '../../targets/target-directory/index.js';
import type {DaemonCore} from '../create-core/index.js';

const msPerSecond = 1000;

/** Creates the context of the request path and registers its component `requests`. */
export function createRequestPath(core: DaemonCore, targets: TargetDirectory, budget: BudgetGate, readConfiguration: () => Configuration): RouterContext {
	const {settings, clock, logger, objectApi, invariants, components, membership} = core;
	const metrics = new RequestMetrics({registry: core.metrics.registry, invariants});
	const idempotency = new IdempotencyRecords({objectApi, clock, metrics});
	const retryBudgets = new ServiceRetryBudgets(() => settings.retryBudget, () => membership.countKnownMembers(), clock.readMonotonic());
	const serviceConnections = createServiceConnections();
	const controller = new AbortController();
	components.register({
		name: 'requests',
		start() {
			void idempotency.run(controller.signal);
		},
		async stop() {
			controller.abort();
			await serviceConnections.destroy();
		},
	});
	const {heldBodyBytes, bodyStallMs} = settings.limits;
	const intake = new CallerIntake({clock, logger, readLimits: () => ({heldBytes: heldBodyBytes, stallMs: bodyStallMs})});
	core.metrics.addGauges(intake.bodyGauges);
	return {
		intake, settings, clock, logger, targets, metrics, idempotency, serviceConnections, readConfiguration,
		gate: createEngineGate(core),
		budget,
		findRetryBudget: service => retryBudgets.find(service),
		chooseAddresses: dataCentre => createAddressAnswer(core, dataCentre),
	};
}

function createEngineGate({settings, clock, membership}: DaemonCore): EngineGate {
	const {strategy, prefillTokensPerMs, engineBacklogMs} = settings.placement;
	return new EngineGate({
		clock,
		placement: createPlacement(strategy, {...settings.placement, dataCentre: settings.dataCentre}),
		prefillTokensPerMs,
		engineBacklogMs,
		queueWaitMs: settings.limits.queueWaitMs,
		queuedRequests: settings.limits.queuedRequests,
		countInstances: () => membership.listLive(clock.readMonotonic()).length,
	});
}

function createAddressAnswer({settings, clock, membership, random}: DaemonCore, dataCentre: string | undefined): AddressAnswer {
	const liveMembers = membership.listLive(clock.readMonotonic());
	const chosenMembers = chooseAddresses({live: liveMembers, self: membership.readSelf(), dataCentre}, random);
	return {
		instances: chosenMembers.map(member => ({id: member.id, address: member.callerAddress, data_centre: member.dataCentre})),
		valid_for_seconds: settings.addressValidityMs / msPerSecond,
	};
}
