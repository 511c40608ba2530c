/** Derives the status of each resource from the last accepted revision and the revisions in force. */

import type {Revision} from '../../identity/ids/index.js';
import {formatProblem, type ResourceProblem} from '../../names/resource-problem/index.js';
import type {StoredObject} from '../../store/object-api/index.js';
import {collectionByKind} from '../../resources/schemas/index.js';
import {
	formatStatusName, isAccepted, type InForceCount, type ResourceStatus, type StatusCondition, type SummaryStatus,
} from '../resource-status/index.js';

/** Input from which all statuses are derived. */
export type StatusInput = {
	readonly objects: readonly StoredObject[];
	/** Problems of all resources; empty when the configuration is accepted. */
	readonly problems: readonly ResourceProblem[];
	/** Last accepted revision, or null when there is none. */
	readonly revision: Revision | null;
	/** Previous statuses by the name of the status object. */
	readonly previous: ReadonlyMap<string, ResourceStatus>;
	/** The revision in force on each live instance. */
	readonly inForce: readonly Revision[];
};

/** Builds the status of each resource, indexed by the name of its status object. */
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

/** Builds the status of the configuration as a whole. */
export function buildSummary({problems, revision, inForce}: StatusInput): SummaryStatus {
	const [firstProblem] = problems;
	return {
		revision, isAccepted: problems.length === 0, problems: problems.length,
		...(firstProblem !== undefined && {firstProblem: formatProblem(firstProblem)}),
		inForce: countInstancesInForce(revision, inForce),
	};
}

function buildStatus(
	input: StatusInput,
	object: StoredObject,
	ownProblems: readonly ResourceProblem[],
	previous: ResourceStatus | undefined,
): ResourceStatus {
	const {problems, revision, inForce} = input;
	const isAlreadyAccepted = previous?.observedVersion === object.resourceVersion && isAccepted(previous);
	// A withdrawn key takes effect even while problems of other resources keep the configuration from being accepted.
	const isAcceptedWithdrawal = problems.length > 0 && ownProblems.length === 0 && isWithdrawnKey(object);
	const isNewlyAccepted = !isAlreadyAccepted && (problems.length === 0 || isAcceptedWithdrawal);
	const acceptedRevision = isNewlyAccepted ? revision : previous?.acceptedRevision ?? null;
	const acceptanceConditions = (isAlreadyAccepted && ownProblems.length === 0) || isNewlyAccepted
		? [{type: 'Accepted' as const, isTrue: true, reason: isAcceptedWithdrawal ? 'WithdrawalAccepted' : 'Accepted'}]
		: describeRefusal(ownProblems, problems);
	// A version that was in force on all instances stays so: instances that join afterwards start with a later revision.
	const hasBeenInForceEverywhere = isAlreadyAccepted && previous.conditions.some(condition => condition.type === 'InForce' && condition.isTrue);
	const inForceCount = hasBeenInForceEverywhere ? previous.inForce : countInstancesInForce(acceptedRevision, inForce);
	return {
		collection: object.collection, objectName: object.name, observedVersion: object.resourceVersion, acceptedRevision,
		inForce: inForceCount, conditions: [...acceptanceConditions, describeInForce(inForceCount)],
	};
}

function describeRefusal(ownProblems: readonly ResourceProblem[], allProblems: readonly ResourceProblem[]): StatusCondition[] {
	if (ownProblems.length > 0) {
		return ownProblems.map(({code, field, reason}) => ({
			type: 'Accepted', isTrue: false, reason: code === 'nameCollision' ? 'NameCollision' : 'Invalid', field, message: reason,
		}));
	}

	return [{
		type: 'Accepted', isTrue: false, reason: 'WholeRefused',
		message: `${allProblems.length} problems of other resources, first: ${formatProblem(allProblems[0]!)}`,
	}];
}

function describeInForce({instances, of}: InForceCount): StatusCondition {
	const isTrue = of > 0 && instances === of;
	return {type: 'InForce', isTrue, reason: isTrue ? 'Everywhere' : 'Spreading'};
}

function countInstancesInForce(revision: Revision | null, instanceRevisions: readonly Revision[]): InForceCount {
	return {instances: revision === null ? 0 : instanceRevisions.filter(other => other >= revision).length, of: instanceRevisions.length};
}

function isWithdrawnKey(object: StoredObject): boolean {
	return object.collection === collectionByKind.Key && (object.value as {state?: unknown} | undefined)?.state === 'withdrawn';
}
