/** Routes the calls of services that are rolled out, from what this instance knows of the orders. */

import type {Clock} from '../../clock/clock/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {SentRequest, VersionRouting} from '../../forwarding/version-routing/index.js';
import type {RouteId, SoftwareVersion} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {calculateShiftShare} from '../calculate-shift-share/index.js';
import {findGroup, type CellScope} from '../evidence-cell/index.js';
import type {RequestOutcome} from '../evidence-recorder/index.js';
import type {KnownRollout, OrderRegister} from '../order-register/index.js';
import type {EvidenceStore} from '../rollout-evidence/index.js';
import {isVersionOf, type RolloutBounds, type VersionLane} from '../rollout-types/index.js';

/** Part of the time for a rollback after which an instance that hears no lease holder sends nothing to the new version. */
const longestSilenceFraction = 0.5;

/** What the routing depends on. */
export type RolloutRoutingOptions = {
	readonly clock: Clock;
	readonly fleet: Pick<TargetFleet, 'list' | 'listServing'>;
	readonly orders: OrderRegister;
	readonly evidence: EvidenceStore;
	readonly readBounds: () => RolloutBounds;
};

/** Routing between the versions of each service. */
export class RolloutRouting implements VersionRouting {
	constructor(private readonly options: RolloutRoutingOptions) {}

	chooseLane(service: ServiceId, fraction: number): VersionLane | undefined {
		const rollout = this.options.orders.find(service);
		if (rollout === undefined) {
			return undefined;
		}

		if (rollout.status?.state === 'completed') {
			return 'new';
		}

		const share = this.measureShare(rollout);
		// If no other version served before the order, all calls go to the new one.
		const isNew = share >= 1 || fraction < share || (share > 0 && rollout.previous?.length === 0);
		return isNew && this.hasTargets(rollout) ? 'new' : 'previous';
	}

	allows(service: ServiceId, lane: VersionLane | undefined, version: SoftwareVersion): boolean {
		const {orders} = this.options;
		const rollout = orders.find(service);
		if (rollout?.status?.state === 'completed') {
			return version === rollout.order.target;
		}

		if (orders.isExcluded(service, version)) {
			return false;
		}

		if (rollout === undefined) {
			return true;
		}

		const isNew = version === rollout.order.target;
		const isPrevious = !isNew && (rollout.previous === undefined || isVersionOf(version, rollout.previous));
		return (isNew && lane !== 'previous') || (isPrevious && lane !== 'new');
	}

	recordSent({target, route, call}: SentRequest): void {
		const rollout = this.findServing(target);
		if (rollout !== undefined) {
			this.options.evidence.get(rollout).own.recordSent(describeScope(rollout, target, route), call);
		}
	}

	recordEnded({target, route, call}: SentRequest, outcome: RequestOutcome): void {
		const rollout = this.findServing(target);
		// Requests sent before the order are no evidence on it.
		if (rollout !== undefined && call.sentAt >= rollout.startedAt) {
			this.options.evidence.get(rollout).own.recordEnded(describeScope(rollout, target, route), call, outcome, this.options.clock.readMonotonic());
		}
	}

	/** Calculates the share of the calls that this instance sends to the new version. */
	measureShare(rollout: KnownRollout): number {
		const {clock, readBounds} = this.options;
		const now = clock.readMonotonic();
		const isHolderSilent = now - rollout.heardAt > readBounds().rollbackMs * longestSilenceFraction;
		const isInForce = rollout.isListed || rollout.status?.state === 'completed';
		return isInForce ? calculateShiftShare({...rollout, isStopped: rollout.stopReason !== undefined, isHolderSilent}, now) : 0;
	}

	/** Counts the calls at old targets, and one more while further ones may go there. */
	countCallsLeft(rollout: KnownRollout): number {
		const {service, target: version} = rollout.order;
		let count = this.measureShare(rollout) >= 1 ? 0 : 1;
		for (const {description, calls} of this.options.fleet.list()) {
			count += description.service === service && description.softwareVersion !== version ? calls.size : 0;
		}

		return count;
	}

	private findServing({description: {service}}: FleetTarget): KnownRollout | undefined {
		const rollout = this.options.orders.find(service);
		return rollout !== undefined && (rollout.status?.state ?? 'serving') === 'serving' ? rollout : undefined;
	}

	private hasTargets({order: {service, target}}: KnownRollout): boolean {
		return this.options.fleet.listServing(service).some(({description}) => description.softwareVersion === target);
	}
}

function describeScope({order}: KnownRollout, {description: {id, softwareVersion}}: FleetTarget, route: RouteId): CellScope {
	return softwareVersion === order.target
		? {lane: 'new', route, group: findGroup(id)}
		: {lane: 'previous', route, group: 0};
}
