/** Derives the status of every resource from what was accepted and from the revisions in force. */

import type {Revision} from '../../identity/ids/index.js';
import {formatProblem, type ResourceProblem} from '../../names/resource-problem/index.js';
import type {StoredObject} from '../../store/object-api/index.js';
import {collectionByKind} from '../../resources/schemas/index.js';
import {
	formatStatusName, isAccepted, type InForce, type ResourceStatus, type StatusCondition, type SummaryStatus,
} from '../resource-status/index.js';

/** What the status is derived from. */
export type StatusInput = {
	readonly objects: readonly StoredObject[];
	readonly problems: readonly ResourceProblem[];
	/** Revision last accepted, or null. */
	readonly revision: Revision | null;
	readonly previous: ReadonlyMap<string, ResourceStatus>;
	/** Revisions in force on the live instances. */
	readonly inForce: readonly Revision[];
};

/** Builds the status of each resource by the name of its status object. */
export function buildStatuses(input: StatusInput): Map<string, ResourceStatus> {
	const problemsByName = new Map<string, ResourceProblem[]>();
	for (const problem of input.problems) {
		const name = formatStatusName(problem.collection, problem.objectName);
		problemsByName.set(name, [...problemsByName.get(name) ?? [], problem]);
	}

	const statuses = new Map<string, ResourceStatus>();
	for (const object of input.objects) {
		const name = formatStatusName(object.collection, object.name);
		statuses.set(name, buildStatus(input, object, problemsByName.get(name) ?? [], input.previous.get(name)));
	}

	return statuses;
}

/** Builds the status of the whole. */
export function buildSummary({problems, revision, inForce}: StatusInput): SummaryStatus {
	const [first] = problems;
	return {
		revision, isAccepted: problems.length === 0, problems: problems.length,
		...(first !== undefined && {firstProblem: formatProblem(first)}),
		inForce: countInForce(revision, inForce),
	};
}

function buildStatus(input: StatusInput, object: StoredObject, own: readonly ResourceProblem[], previous: ResourceStatus | undefined): ResourceStatus {
	const {problems, revision, inForce} = input;
	const isSame = previous?.observedVersion === object.resourceVersion && isAccepted(previous);
	const isWithdrawal = problems.length > 0 && own.length === 0 && isWithdrawnKey(object);
	const isNewlyAccepted = !isSame && (problems.length === 0 || isWithdrawal);
	const acceptedRevision = isNewlyAccepted ? revision : previous?.acceptedRevision ?? null;
	const accepted = (isSame && own.length === 0) || isNewlyAccepted
		? [{type: 'Accepted' as const, isTrue: true, reason: isWithdrawal ? 'WithdrawalAccepted' : 'Accepted'}]
		: describeRefusal(own, problems);
	// What once was in force everywhere stays so; later joiners start with a later revision.
	const isSettled = isSame && previous.conditions.some(condition => condition.type === 'InForce' && condition.isTrue);
	const counted = isSettled ? previous.inForce : countInForce(acceptedRevision, inForce);
	return {
		collection: object.collection, objectName: object.name, observedVersion: object.resourceVersion, acceptedRevision,
		inForce: counted, conditions: [...accepted, describeInForce(counted)],
	};
}

function describeRefusal(own: readonly ResourceProblem[], all: readonly ResourceProblem[]): StatusCondition[] {
	if (own.length > 0) {
		return own.map(({code, field, reason}) => ({
			type: 'Accepted', isTrue: false, reason: code === 'nameCollision' ? 'NameCollision' : 'Invalid', field, message: reason,
		}));
	}

	return [{
		type: 'Accepted', isTrue: false, reason: 'WholeRefused', message: `${all.length} problems of other resources, first: ${formatProblem(all[0]!)}`,
	}];
}

function describeInForce({instances, of}: InForce): StatusCondition {
	const isTrue = of > 0 && instances === of;
	return {type: 'InForce', isTrue, reason: isTrue ? 'Everywhere' : 'Spreading'};
}

function countInForce(revision: Revision | null, inForce: readonly Revision[]): InForce {
	return {instances: revision === null ? 0 : inForce.filter(other => other >= revision).length, of: inForce.length};
}

function isWithdrawnKey(object: StoredObject): boolean {
	return object.collection === collectionByKind.Key && (object.value as {state?: unknown} | undefined)?.state === 'withdrawn';
}
