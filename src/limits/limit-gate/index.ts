/** Decides before each attempt whether the limit or the brittleness of a target leaves room for it. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';

/** Gate in front of all requests to targets. */
export type LimitGate = {
	/** Whether a request may be sent to the target now: it states neither limit nor brittleness, or this instance holds a permit. */
	allows(target: FleetTarget, now: MonotonicMs): boolean;
	/** Notes that a request wants a target that is not allowed now, and asks for a permit. */
	ask(target: FleetTarget, now: MonotonicMs): void;
	/** Takes the permit of a request that is about to be sent. */
	take(target: FleetTarget, now: MonotonicMs): void;
	/** Tells the other instances that the limit or the brittleness of the target has changed. */
	announce(target: FleetTarget): void;
	/** Reports that a brittle target has refused a request for want of room. */
	reportRefused(target: FleetTarget, now: MonotonicMs): void;
};

/** Gate that ignores limits. */
export const openLimitGate: LimitGate = {
	allows: () => true,
	ask() {
		// Nothing is withheld.
	},
	take() {
		// Permits are not needed.
	},
	announce() {
		// There are no other instances.
	},
	reportRefused() {
		// Nothing is learned.
	},
};
