/**
 * Resolution of names over several fleets. A name that one fleet uses resolves to itself. A name
 * that several fleets use needs a policy: kept apart it resolves to `fleet/name`, joined to `name`.
 */

import type {NamePolicyResource, Resource} from '../../resources/schemas/index.js';
import {createProblem, type ResourceProblem} from '../resource-problem/index.js';

/** Kinds whose names are resolved. A service exists where a target names it. */
export type NamedKind = NamePolicyResource['appliesTo'];

/** Resolved names of all resources. */
export type NameResolution = {
	readonly problems: readonly ResourceProblem[];
	/** Whether `fleet` itself declares the name; references never leave their fleet. */
	isDeclared(kind: NamedKind, fleet: string, name: string): boolean;
	/** Id of a name as `fleet` uses it. Without a policy a name of several fleets is kept apart and stated in `problems`. */
	resolve(kind: NamedKind, fleet: string, name: string): string;
	/** Policy of a joined name. */
	findJoin(kind: NamedKind, name: string): NamePolicyResource | undefined;
};

type Declaration = {readonly resource: Resource; readonly fleet: string; readonly field: string};

/** Resolves the names that `resources` declare. */
export function resolveNames(resources: readonly Resource[]): NameResolution {
	const declarations = collectDeclarations(resources);
	const policies = new Map(resources.filter(resource => resource.kind === 'NamePolicy').map(policy => [formatKey(policy.appliesTo, policy.name), policy]));
	const countFleets = (key: string) => new Set(declarations.get(key)?.map(declaration => declaration.fleet)).size;
	return {
		problems: [...findCollisions(declarations, policies), ...[...policies.values()].flatMap(policy => checkPolicy(policy))],
		isDeclared: (kind, fleet, name) => declarations.get(formatKey(kind, name))?.some(declaration => declaration.fleet === fleet) ?? false,
		resolve(kind, fleet, name) {
			const key = formatKey(kind, name);
			return countFleets(key) < 2 || policies.get(key)?.mode === 'join' ? name : `${fleet}/${name}`;
		},
		findJoin(kind, name) {
			const key = formatKey(kind, name);
			const policy = policies.get(key);
			return policy?.mode === 'join' && countFleets(key) > 1 ? policy : undefined;
		},
	};
}

function collectDeclarations(resources: readonly Resource[]): ReadonlyMap<string, readonly Declaration[]> {
	const declarations = new Map<string, Declaration[]>();
	const note = (key: string, declaration: Declaration) => {
		const known = declarations.get(key) ?? [];
		known.push(declaration);
		declarations.set(key, known);
	};

	for (const resource of resources) {
		// A key is known by its hash, so that its name is only a label within its fleet.
		if (resource.kind !== 'NamePolicy' && resource.kind !== 'Key') {
			note(formatKey(resource.kind, resource.name), {resource, fleet: resource.fleet, field: 'name'});
		}

		if (resource.kind === 'Target' && resource.service !== undefined) {
			note(formatKey('Service', resource.service), {resource, fleet: resource.fleet, field: 'service'});
		}
	}

	return declarations;
}

function * findCollisions(declarations: ReadonlyMap<string, readonly Declaration[]>, policies: ReadonlyMap<string, unknown>): Generator<ResourceProblem> {
	for (const [key, users] of declarations) {
		const fleets = [...new Set(users.map(user => user.fleet))].toSorted();
		if (fleets.length < 2 || policies.has(key)) {
			continue;
		}

		const [kind, name] = key.split('\n');
		const reason = `${kind} "${name}" is used by the fleets ${fleets.join(' and ')}; `
			+ `write the NamePolicy {"appliesTo": "${kind}", "name": "${name}", "mode": "keepApart"} or "join"`;
		for (const user of users) {
			yield createProblem(user.resource, user.field, reason, 'nameCollision');
		}
	}
}

function checkPolicy(policy: NamePolicyResource): ResourceProblem[] {
	if (policy.mode === 'join' && policy.appliesTo === 'Organisation') {
		return [];
	}

	return (['tokensPerSecond', 'burstTokens', 'weight'] as const)
		.filter(field => policy[field] !== undefined)
		.map(field => createProblem(policy, field, 'only a policy that joins an organisation may state it'));
}

function formatKey(kind: NamedKind, name: string): string {
	return `${kind}\n${name}`;
}
