/** A validation problem of a resource, as the resource's status and the command-line tool show it. */

import {formatObjectName, collectionByKind, type Resource} from '../../resources/schemas/index.js';

/** A reason to refuse a configuration. `field` is `(whole)` when the problem does not concern a single field. */
export type ResourceProblem = {
	readonly code: 'configurationInvalid' | 'nameCollision';
	/** Collection and object name of the resource. */
	readonly collection: string;
	readonly objectName: string;
	readonly field: string;
	readonly reason: string;
};

/** Creates a problem of `resource`. */
export function createProblem(resource: Resource, field: string, reason: string, code: ResourceProblem['code'] = 'configurationInvalid'): ResourceProblem {
	return {
		code, collection: collectionByKind[resource.kind], objectName: formatObjectName(resource), field, reason,
	};
}

/** Formats a problem as `collection/object: field: reason`. */
export function formatProblem(problem: ResourceProblem): string {
	return `${problem.collection}/${problem.objectName}: ${problem.field}: ${problem.reason}`;
}
