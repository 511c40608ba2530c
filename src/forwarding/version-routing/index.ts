/** What calls need to know of the rollouts of software versions. */

import type {FleetTarget, TargetCall} from '../../fleet/fleet-target/index.js';
import type {RouteId, SoftwareVersion} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import type {RequestOutcome} from '../../software-rollout/evidence-recorder/index.js';
import type {VersionLane} from '../../software-rollout/rollout-types/index.js';

/** A request that was sent to a target. */
export type SentRequest = {readonly target: FleetTarget; readonly route: RouteId; readonly call: TargetCall};

/** Routes calls between the versions of a service that is rolled out, and records how they ended. */
export type VersionRouting = {
	/**
	 * Chooses where a call goes now that has drawn `fraction` (0 inclusive to 1 exclusive; 1: to the new version only when all
	 * calls go there). Undefined for a service without a rollout.
	 */
	chooseLane(service: ServiceId, fraction: number): VersionLane | undefined;
	/** Whether a call may go to a target of `version`; without a lane, to any version that serves in the rollout. */
	allows(service: ServiceId, lane: VersionLane | undefined, version: SoftwareVersion): boolean;
	/** Records a request that is sent. */
	recordSent(request: SentRequest): void;
	/** Records the end of a request, or, after that, that its target was to blame for it. */
	recordEnded(request: SentRequest, outcome: RequestOutcome): void;
};
