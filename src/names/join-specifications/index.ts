/** Joins what several fleets state about one name. */

import {isDeepStrictEqual} from 'node:util';
import type {Resource} from '../../resources/schemas/index.js';
import {createProblem, type ResourceProblem} from '../resource-problem/index.js';

/** One fleet's resource and what it resolves to. */
export type Specification<Resolved extends {readonly id: string}> = {readonly resource: Resource; readonly resolved: Resolved};

/** Joined values, with a problem for each field in which the fleets disagree. */
export type JoinResult<Resolved> = {readonly values: readonly Resolved[]; readonly problems: readonly ResourceProblem[]};

/** Joins specifications of the same id in order of fleets. Fields in `ignored` may differ; the first fleet's value counts. */
export function joinSpecifications<Resolved extends {readonly id: string}>(
	specifications: ReadonlyArray<Specification<Resolved>>,
	ignored: ReadonlySet<string>,
	merge: (joined: Resolved, other: Resolved) => Resolved = joined => joined,
): JoinResult<Resolved> {
	const firstById = new Map<string, Specification<Resolved>>();
	const valueById = new Map<string, Resolved>();
	const problems: ResourceProblem[] = [];
	const inOrder = specifications.toSorted((a, b) => compareText(formatFleet(a.resource), formatFleet(b.resource)));
	for (const specification of inOrder) {
		const {resolved, resource} = specification;
		const first = firstById.get(resolved.id);
		if (first === undefined) {
			firstById.set(resolved.id, specification);
			valueById.set(resolved.id, resolved);
			continue;
		}

		for (const field of listDifferences(first.resolved, resolved, ignored)) {
			problems.push(createProblem(resource, field, formatDifference(field, first, specification)));
		}

		valueById.set(resolved.id, merge(valueById.get(resolved.id)!, resolved));
	}

	return {values: [...valueById.values()], problems};
}

/** Compares texts by code units, independent of the locale. */
export function compareText(a: string, b: string): number {
	return a < b ? -1 : Number(a > b);
}

function listDifferences(left: object, right: object, ignored: ReadonlySet<string>): string[] {
	const fields = new Set([...Object.keys(left), ...Object.keys(right)]);
	return [...fields].filter(field => !ignored.has(field) && !isDeepStrictEqual(readField(left, field), readField(right, field)));
}

function formatDifference<Resolved extends {readonly id: string}>(field: string, first: Specification<Resolved>, second: Specification<Resolved>): string {
	const show = ({resource, resolved}: Specification<Resolved>) => `${JSON.stringify(readField(resolved, field))} in ${formatFleet(resource)}`;
	return `"${first.resolved.id}" is joined, but the fleets state ${show(first)} and ${show(second)}`;
}

function readField(value: object, field: string): unknown {
	return (value as Record<string, unknown>)[field];
}

function formatFleet(resource: Resource): string {
	return resource.kind === 'NamePolicy' ? '' : resource.fleet;
}
