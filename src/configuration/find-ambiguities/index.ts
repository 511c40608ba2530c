/** Finds resources that make a lookup by secret, path or model name ambiguous. */

import type {NameResolution} from '../../names/resolve-names/index.js';
import {createProblem, formatProblem, type ResourceProblem} from '../../names/resource-problem/index.js';
import type {Resource} from '../../resources/schemas/index.js';

/** A claim of a resource to a lookup key. Claims with the same `key` must lead to the same `id`, or the lookup is ambiguous. */
type Claim = {readonly resource: Resource; readonly field: string; readonly key: string; readonly id: string; readonly subject: string};

/** Lists secrets, paths and open model names that lead to more than one key, route or model. */
export function findAmbiguities(resources: readonly Resource[], names: NameResolution): ResourceProblem[] {
	const owners = new Map<string, Claim>();
	const problems: ResourceProblem[] = [];
	for (const claim of resources.flatMap(resource => listClaims(resource, names))) {
		const owner = owners.get(claim.key);
		if (owner === undefined) {
			owners.set(claim.key, claim);
		} else if (owner.id !== claim.id) {
			const [ownerName] = formatProblem(createProblem(owner.resource, claim.field, '')).split(': ');
			problems.push(createProblem(claim.resource, claim.field, `${claim.subject} is taken by ${ownerName}`));
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
		// A caller without a key has no fleet, so the unqualified name of an open model must be unique.
		const modelId = names.resolve('Model', fleet, model);
		claims.push({
			resource, field: 'model', id: modelId, key: `open model\n${model}`, subject: `open model name "${model}"`,
		});
	}

	return claims;
}
