/** What is wrong with a resource, in the form that status and the command-line tool show. */

import {formatObjectName, collectionByKind, type Resource} from '../../resources/schemas/index.js';

/** A reason to refuse a configuration. `field` is `(whole)` when no single field is at fault. */
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
