/** Gauges that show how evenly targets are loaded, and how far their learned speeds differ. */

import type {Clock} from '../../clock/clock/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import type {GatewayGauges} from '../gateway-metrics/index.js';

/** Gauges of the loads that an instance knows of. */
export class LoadGauges {
	readonly gauges: GatewayGauges = {
		target_load_spread: {
			help: 'Estimated load of the busiest target in relation to the mean of its service, each at its speed; of the service where it is highest, 0 without load.',
			read: () => Math.max(0, ...this.listServices().map(targets => measureSpread(targets, this.clock.readMonotonic()))),
		},
		target_speed_lowest: {help: 'Lowest learned speed of a target, 1 for the mean of its service.', read: () => Math.min(1, ...this.listSpeeds())},
		target_speed_highest: {help: 'Highest learned speed of a target, 1 for the mean of its service.', read: () => Math.max(1, ...this.listSpeeds())},
	};

	constructor(private readonly fleet: Pick<TargetFleet, 'list'>, private readonly clock: Clock) {}

	private listSpeeds(): number[] {
		return [...this.fleet.list()].map(({speed}) => speed.read(this.clock.readMonotonic()));
	}

	private listServices(): FleetTarget[][] {
		const services = new Map<ServiceId, FleetTarget[]>();
		for (const target of this.fleet.list()) {
			const {service} = target.description;
			services.set(service, [...services.get(service) ?? [], target]);
		}

		return [...services.values()];
	}
}

function measureSpread(targets: readonly FleetTarget[], now: MonotonicMs): number {
	const loads = targets.map(target => target.estimateLoad(now) / target.speed.read(now));
	const total = loads.reduce((sum, load) => sum + load, 0);
	return total === 0 ? 0 : Math.max(...loads) * loads.length / total;
}
