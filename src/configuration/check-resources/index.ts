/** Validates stored objects, first each against its schema, then all of them together. */

import type {StoredObject} from '../../store/object-api/index.js';
import {
	collectionByKind, formatObjectName, schemaByKind, type Resource, type ResourceKind,
} from '../../resources/schemas/index.js';
import {createProblem, type ResourceProblem} from '../../names/resource-problem/index.js';
import {resolveResources, type ResourceResolution} from '../resolve-resources/index.js';

const kindByCollection = new Map(Object.entries(collectionByKind).map(([kind, collection]) => [collection, kind as ResourceKind]));

/** Resolves `objects` and lists all problems for which they are refused. */
export function checkResources(objects: readonly StoredObject[]): ResourceResolution {
	const resources: Resource[] = [];
	const problems: ResourceProblem[] = [];
	for (const object of objects) {
		const result = checkObject(object);
		if (Array.isArray(result)) {
			problems.push(...result);
		} else {
			resources.push(result);
		}
	}

	const resolution = resolveResources(resources);
	// Problems that follow from an invalid resource, such as a missing reference to it, are left out: they would distract from the cause.
	return problems.length > 0 ? {data: resolution.data, problems} : resolution;
}

function checkObject(object: StoredObject): Resource | ResourceProblem[] {
	const kind = kindByCollection.get(object.collection)!;
	const result = schemaByKind[kind].safeParse(object.value);
	if (!result.success) {
		return result.error.issues.map(issue => ({
			code: 'configurationInvalid', collection: object.collection, objectName: object.name,
			field: formatFieldPath(issue), reason: issue.message,
		}));
	}

	const expectedName = formatObjectName(result.data);
	if (expectedName !== object.name) {
		return [{...createProblem(result.data, 'name', `the object must be named "${expectedName}"`), objectName: object.name}];
	}

	return result.data;
}

function formatFieldPath(issue: {readonly code?: string; readonly path: readonly PropertyKey[]; readonly keys?: readonly string[]}): string {
	const path = [...issue.path, ...issue.keys?.slice(0, 1) ?? []];
	return path.length === 0 ? '(whole)' : path.map(String).join('.');
}
