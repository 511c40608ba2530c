/** Shares the probe of a target among all who ask while it is under way, so that one crash costs one connection. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetState} from '../../fleet/probe-target/index.js';

/** Finds out the state of a target. */
export type TargetProbe = (target: FleetTarget) => Promise<TargetState>;

/** Returns a probe that asks `probe` once for each target at a time. */
export function shareProbes(probe: TargetProbe): TargetProbe {
	const pending = new Map<FleetTarget, Promise<TargetState>>();
	const start = async (target: FleetTarget) => {
		try {
			return await probe(target);
		} finally {
			pending.delete(target);
		}
	};

	return async target => {
		const shared = pending.get(target) ?? start(target);
		pending.set(target, shared);
		return shared;
	};
}
