/**
 * Resolves names across fleets. A name that only one fleet uses resolves to itself. A name that
 * several fleets use needs a policy: it resolves to `fleet/name` when kept apart and to `name` when joined.
 */

import type {NamePolicyResource, Resource} from '../../resources/schemas/index.js';
import {createProblem, type ResourceProblem} from '../resource-problem/index.js';

/** Kinds whose names are resolved. A service has no resource of its own: a target declares it by naming it. */
export type NamedKind = NamePolicyResource['appliesTo'];

/** Resolved names of all resources. */
export type NameResolution = {
	readonly problems: readonly ResourceProblem[];
	/** Whether `fleet` itself declares the name. A reference can only refer to a name of its own fleet. */
	isDeclared(kind: NamedKind, fleet: string, name: string): boolean;
	/** Returns the id of a name as `fleet` uses it. A name of several fleets without a policy is kept apart and reported in `problems`. */
	resolve(kind: NamedKind, fleet: string, name: string): string;
	/** Returns the policy of a joined name. */
	findJoinPolicy(kind: NamedKind, name: string): NamePolicyResource | undefined;
};

type Declaration = {readonly resource: Resource; readonly fleet: string; readonly field: string};

/** Resolves the names that `resources` declare. */
export function resolveNames(resources: readonly Resource[]): NameResolution {
	const declarations = collectDeclarations(resources);
	const policies = new Map(resources.filter(resource => resource.kind === 'NamePolicy').map(policy => [formatNameKey(policy.appliesTo, policy.name), policy]));
	const countFleets = (key: string) => new Set(declarations.get(key)?.map(declaration => declaration.fleet)).size;
	return {
		problems: [...findCollisions(declarations, policies), ...[...policies.values()].flatMap(policy => checkPolicy(policy))],
		isDeclared: (kind, fleet, name) => declarations.get(formatNameKey(kind, name))?.some(declaration => declaration.fleet === fleet) ?? false,
		resolve(kind, fleet, name) {
			const key = formatNameKey(kind, name);
			return countFleets(key) < 2 || policies.get(key)?.mode === 'join' ? name : `${fleet}/${name}`;
		},
		findJoinPolicy(kind, name) {
			const key = formatNameKey(kind, name);
			const policy = policies.get(key);
			return policy?.mode === 'join' && countFleets(key) > 1 ? policy : undefined;
		},
	};
}

function collectDeclarations(resources: readonly Resource[]): ReadonlyMap<string, readonly Declaration[]> {
	const declarations = new Map<string, Declaration[]>();
	const addDeclaration = (key: string, declaration: Declaration) => {
		const declarationsOfKey = declarations.get(key) ?? [];
		declarationsOfKey.push(declaration);
		declarations.set(key, declarationsOfKey);
	};

	for (const resource of resources) {
		// A key is identified by its hash; its name is only a label within its fleet.
		if (resource.kind !== 'NamePolicy' && resource.kind !== 'Key') {
			addDeclaration(formatNameKey(resource.kind, resource.name), {resource, fleet: resource.fleet, field: 'name'});
		}

		if (resource.kind === 'Target' && resource.service !== undefined) {
			addDeclaration(formatNameKey('Service', resource.service), {resource, fleet: resource.fleet, field: 'service'});
		}
	}

	return declarations;
}

function * findCollisions(declarations: ReadonlyMap<string, readonly Declaration[]>, policies: ReadonlyMap<string, unknown>): Generator<ResourceProblem> {
	for (const [key, declarationsOfKey] of declarations) {
		const fleets = [...new Set(declarationsOfKey.map(declaration => declaration.fleet))].toSorted();
		if (fleets.length < 2 || policies.has(key)) {
			continue;
		}

		const [kind, name] = key.split('\n');
		const reason = `${kind} "${name}" is used by the fleets ${fleets.join(' and ')}; `
			+ `write the NamePolicy {"appliesTo": "${kind}", "name": "${name}", "mode": "keepApart"} or "join"`;
		for (const declaration of declarationsOfKey) {
			yield createProblem(declaration.resource, declaration.field, reason, 'nameCollision');
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

function formatNameKey(kind: NamedKind, name: string): string {
	return `${kind}\n${name}`;
}
