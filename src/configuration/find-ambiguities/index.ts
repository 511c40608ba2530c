/** Finds resources between which the router would have to guess. */

import type {NameResolution} from '../../names/resolve-names/index.js';
import {createProblem, formatProblem, type ResourceProblem} from '../../names/resource-problem/index.js';
import type {Resource} from '../../resources/schemas/index.js';

/** Something that must have one owner: resources with the same `key` must lead to the same `id`. */
type Claim = {readonly resource: Resource; readonly field: string; readonly key: string; readonly id: string; readonly subject: string};

/** Lists keys with one secret, paths and open models that lead to more than one place. */
export function findAmbiguities(resources: readonly Resource[], names: NameResolution): ResourceProblem[] {
	const owners = new Map<string, Claim>();
	const problems: ResourceProblem[] = [];
	for (const claim of resources.flatMap(resource => listClaims(resource, names))) {
		const owner = owners.get(claim.key);
		if (owner === undefined) {
			owners.set(claim.key, claim);
		} else if (owner.id !== claim.id) {
			const [where] = formatProblem(createProblem(owner.resource, claim.field, '')).split(': ');
			problems.push(createProblem(claim.resource, claim.field, `${claim.subject} is taken by ${where}`));
		}
	}

	return problems;
}

function listClaims(resource: Resource, names: NameResolution): Claim[] {
	if (resource.kind === 'Key') {
		return [{
			resource, field: 'sha256', key: `key\n${resource.sha256}`, id: `${resource.fleet}/${resource.name}`, subject: 'the secret',
		}];
	}

	if (resource.kind !== 'Route') {
		return [];
	}

	const {fleet, access, pathPrefix, model} = resource;
	const id = names.resolve('Route', fleet, resource.name);
	const claims: Claim[] = [];
	if (pathPrefix !== undefined) {
		const prefix = pathPrefix.replace(/\/+$/u, '');
		const field = 'pathPrefix';
		claims.push({
			resource, field, id, key: `path\n${fleet}\n${prefix}`, subject: `path "${pathPrefix}" in fleet ${fleet}`,
		});
		if (access === 'open') {
			claims.push({
				resource, field, id, key: `open path\n${prefix}`, subject: `open path "${pathPrefix}"`,
			});
		}
	}

	if (model !== undefined && access === 'open') {
		// Callers without a key name no fleet, so that an open model's plain name must be unique.
		const modelId = names.resolve('Model', fleet, model);
		claims.push({
			resource, field: 'model', id: modelId, key: `open model\n${model}`, subject: `open model name "${model}"`,
		});
	}

	return claims;
}
