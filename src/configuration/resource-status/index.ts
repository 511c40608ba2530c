/** Status of a resource, which the acceptor writes to the object API for operators. */

import type {ResourceVersion, Revision} from '../../identity/ids/index.js';

/** Collection of all statuses. */
export const statusCollection = 'statuses';
/** Object name of the status of the configuration as a whole. */
export const summaryName = 'configuration';

/** One statement about a resource. */
export type StatusCondition = {
	readonly type: 'Accepted' | 'InForce';
	readonly isTrue: boolean;
	/** Machine-readable reason: `Accepted`, `WithdrawalAccepted`, `Invalid`, `NameCollision`, `WholeRefused`, `Everywhere` or `Spreading`. */
	readonly reason: string;
	readonly field?: string;
	readonly message?: string;
};

/** Number of live instances on which the accepted revision or a later one is in force, out of all live instances. */
export type InForceCount = {readonly instances: number; readonly of: number};

/** Status of one resource. */
export type ResourceStatus = {
	readonly collection: string;
	readonly objectName: string;
	/** Version of the resource to which the conditions apply. */
	readonly observedVersion: ResourceVersion;
	/** First revision that contains the last accepted version of the resource, or null while no version is accepted. */
	readonly acceptedRevision: Revision | null;
	readonly inForce: InForceCount;
	readonly conditions: readonly StatusCondition[];
};

/** Status of the configuration as a whole. */
export type SummaryStatus = {
	readonly revision: Revision | null;
	readonly isAccepted: boolean;
	/** Number of problems for which the configuration is refused. */
	readonly problems: number;
	readonly firstProblem?: string;
	readonly inForce: InForceCount;
};

/** Formats the name of a resource's status object. */
export function formatStatusName(collection: string, objectName: string): string {
	return `${collection}.${objectName}`;
}

/** Whether the newest version of the resource is accepted. */
export function isAccepted(status: ResourceStatus): boolean {
	return status.conditions.some(condition => condition.type === 'Accepted' && condition.isTrue);
}
