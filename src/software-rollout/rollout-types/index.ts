/** Types of software rollouts: what an operator orders, and what the gateway states about it. */

import type {ResourceVersion, SoftwareVersion, WallMs} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';

/** Order to move the calls of a service to the targets of one software version. */
export type RolloutOrder = {
	readonly service: ServiceId;
	readonly target: SoftwareVersion;
	/** Time from the appearance of the order to its deadline. */
	readonly durationMs: number;
};

/** State of a rollout. The platform adapter converts it to the name that operators read in the status. */
export type RolloutState = 'serving' | 'completed' | 'rolledBack';

/** `canary`: the new version gets a small share of the calls. `shift`: it gets all. */
export type RolloutStage = 'canary' | 'shift';

/** What the stored status of an order says. */
export type RolloutStatus = {
	readonly state: RolloutState;
	readonly target: SoftwareVersion;
	readonly stage: RolloutStage;
	/** Share of the calls that the new version gets in stage `canary`, from 0 to 1. */
	readonly share: number;
	/** Number of the order; rises with each order for the service. */
	readonly order: number;
	/** What the order asks for, as one text. */
	readonly orderKey: string;
	/** Number of the status write; rises with each write for the order. */
	readonly write: number;
	/** Versions that served before the order. */
	readonly previous: readonly SoftwareVersion[];
	/** Versions that were rolled back and that no later order has named. */
	readonly excluded: readonly SoftwareVersion[];
	/** Age of the order when the status was written. */
	readonly ageMs: number;
	/** Wall time at which the order appeared. */
	readonly orderedAt: WallMs;
	/** Why the version was rolled back. */
	readonly reason?: string | undefined;
};

/** A stored order with its status, if it has one. */
export type RolloutObject = {
	readonly name: string;
	readonly order: RolloutOrder;
	readonly status: RolloutStatus | undefined;
	readonly version: ResourceVersion;
};

/** Which of the versions of a service a call goes to: the one that is rolled out, or those that served before. */
export type VersionLane = 'new' | 'previous';

/** Limits on what a bad version may get. */
export type RolloutBounds = {
	/** Share of all requests for the service between the order and its deadline. */
	readonly exposureShare: number;
	/** Requests in addition to the share. */
	readonly exposureSlack: number;
	/** Time after the 50th bad answer from which the version gets no request, in milliseconds. */
	readonly rollbackMs: number;
};

/** Prefix of the version of a target that states none. Each such target has a version of its own. */
export const unstatedVersionPrefix = 'unknown/';

/** Formats what an order asks for as one text. */
export function formatOrderKey({target, durationMs}: RolloutOrder): string {
	return `${target} ${durationMs}`;
}

/** Whether `version` is one of `versions`. All targets that state no version count as one version. */
export function isVersionOf(version: SoftwareVersion, versions: readonly SoftwareVersion[]): boolean {
	return versions.includes(version)
		|| (version.startsWith(unstatedVersionPrefix) && versions.some(other => other.startsWith(unstatedVersionPrefix)));
}
