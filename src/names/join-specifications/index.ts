/** Joins the specifications that several fleets declare under one name. */

import {isDeepStrictEqual} from 'node:util';
import type {Resource} from '../../resources/schemas/index.js';
import {createProblem, type ResourceProblem} from '../resource-problem/index.js';

/** One fleet's resource and its resolved value. */
export type Specification<Resolved extends {readonly id: string}> = {readonly resource: Resource; readonly resolved: Resolved};

/** Joined values, with a problem for each field in which the fleets disagree. */
export type JoinResult<Resolved> = {readonly values: readonly Resolved[]; readonly problems: readonly ResourceProblem[]};

/**
 * Joins specifications with the same id in order of fleets. Fields in `ignoredFields` may differ;
 * unless `merge` combines them, the first fleet's value is used.
 */
export function joinSpecifications<Resolved extends {readonly id: string}>(
	specifications: ReadonlyArray<Specification<Resolved>>,
	ignoredFields: ReadonlySet<string>,
	merge: (joined: Resolved, other: Resolved) => Resolved = joined => joined,
): JoinResult<Resolved> {
	const firstById = new Map<string, Specification<Resolved>>();
	const joinedById = new Map<string, Resolved>();
	const problems: ResourceProblem[] = [];
	const sortedByFleet = specifications.toSorted((a, b) => compareText(readFleet(a.resource), readFleet(b.resource)));
	for (const specification of sortedByFleet) {
		const {resolved, resource} = specification;
		const first = firstById.get(resolved.id);
		if (first === undefined) {
			firstById.set(resolved.id, specification);
			joinedById.set(resolved.id, resolved);
			continue;
		}

		for (const field of listDifferences(first.resolved, resolved, ignoredFields)) {
			problems.push(createProblem(resource, field, formatDifference(field, first, specification)));
		}

		joinedById.set(resolved.id, merge(joinedById.get(resolved.id)!, resolved));
	}

	return {values: [...joinedById.values()], problems};
}

/** Compares strings by UTF-16 code units, independently of the locale. */
export function compareText(a: string, b: string): number {
	return a < b ? -1 : Number(a > b);
}

function listDifferences(left: object, right: object, ignoredFields: ReadonlySet<string>): string[] {
	const fields = new Set([...Object.keys(left), ...Object.keys(right)]);
	return [...fields].filter(field => !ignoredFields.has(field) && !isDeepStrictEqual(readField(left, field), readField(right, field)));
}

function formatDifference<Resolved extends {readonly id: string}>(field: string, first: Specification<Resolved>, second: Specification<Resolved>): string {
	const formatValue = ({resource, resolved}: Specification<Resolved>) => `${JSON.stringify(readField(resolved, field))} in ${readFleet(resource)}`;
	return `"${first.resolved.id}" is joined, but the fleets state ${formatValue(first)} and ${formatValue(second)}`;
}

function readField(value: object, field: string): unknown {
	return (value as Record<string, unknown>)[field];
}

function readFleet(resource: Resource): string {
	return resource.kind === 'NamePolicy' ? '' : resource.fleet;
}
