/** Status of a resource, as the acceptor writes it to the object API for operators. */

import type {ResourceVersion, Revision} from '../../identity/ids/index.js';

/** Collection of all statuses. */
export const statusCollection = 'statuses';
/** Object name of the status of the configuration as a whole. */
export const summaryName = 'configuration';

/** One statement about a resource. */
export type StatusCondition = {
	readonly type: 'Accepted' | 'InForce';
	readonly isTrue: boolean;
	/** Fixed word: `Accepted`, `WithdrawalAccepted`, `Invalid`, `NameCollision`, `WholeRefused`, `Everywhere` or `Spreading`. */
	readonly reason: string;
	readonly field?: string;
	readonly message?: string;
};

/** On how many live instances the accepted revision, or a later one, is in force. */
export type InForce = {readonly instances: number; readonly of: number};

/** Status of one resource. */
export type ResourceStatus = {
	readonly collection: string;
	readonly objectName: string;
	/** Version of the resource that the conditions are about. */
	readonly observedVersion: ResourceVersion;
	/** First revision that contains what is in force of this resource; null while nothing of it is. */
	readonly acceptedRevision: Revision | null;
	readonly inForce: InForce;
	readonly conditions: readonly StatusCondition[];
};

/** Status of the whole. */
export type SummaryStatus = {
	readonly revision: Revision | null;
	readonly isAccepted: boolean;
	/** Number of reasons for which the whole is refused, and the first of them. */
	readonly problems: number;
	readonly firstProblem?: string;
	readonly inForce: InForce;
};

/** Formats the name of a resource's status object. */
export function formatStatusName(collection: string, objectName: string): string {
	return `${collection}.${objectName}`;
}

/** Whether the newest version of the resource is accepted. */
export function isAccepted(status: ResourceStatus): boolean {
	return status.conditions.some(condition => condition.type === 'Accepted' && condition.isTrue);
}
