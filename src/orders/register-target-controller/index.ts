/** Registers the target controller with the daemon. */

import type {Configuration} from '../../configuration/configuration/index.js';
import type {DaemonCore} from '../../daemon/create-core/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {Lease} from '../../leases/lease/index.js';
import type {MemberView} from '../../membership/member/index.js';
import type {TargetDirectory} from '../../targets/target-directory/index.js';
import {TargetController, controllerLeaseMs, controllerLeaseName} from '../target-controller/index.js';

/** Instances per data centre that compete for the lease. */
const contendersPerDataCentre = 2;

/** Creates the controller and registers its start, leave, stop and dump. */
export function registerTargetController(core: DaemonCore, targets: TargetDirectory, readConfiguration: () => Configuration | undefined): void {
	const {clock, logger, invariants, membership, metrics, objectApi, components} = core;
	const {id, incarnation} = membership.readSelf();
	const controller = new TargetController({
		clock, logger, invariants, readConfiguration,
		lease: new Lease({
			objectApi, clock, name: controllerLeaseName, holder: id, incarnation, durationMs: controllerLeaseMs,
			maximumReadGapMs: controllerLeaseMs,
			// An earlier incarnation cannot be running, because this instance holds the listen address.
			mayReplaceEarlierIncarnation: true,
		}),
		findEngine: target => targets.find(target.id)?.client,
		isContender: () => isContender(membership, clock.readMonotonic()),
		onOrder(order, outcome) {
			metrics.recordOrder(order, outcome);
		},
	});
	components.register({
		name: 'targetController',
		start() {
			void controller.run();
		},
		leave() {
			void controller.leave();
		},
		stop() {
			controller.stop();
		},
		dump: () => controller.dump(),
	});
}

/** Whether this instance is among the first live members of its data centre, ordered by id. */
export function isContender(membership: MemberView, now: MonotonicMs): boolean {
	const self = membership.readSelf();
	const ids = membership.listLive(now)
		.filter(member => member.dataCentre === self.dataCentre && member.state === 'live' && member.revision >= 0)
		.map(member => member.id)
		.toSorted();
	return ids.slice(0, contendersPerDataCentre).includes(self.id);
}
