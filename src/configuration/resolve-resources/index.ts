/** Resolves all resources into one configuration and validates it as a whole. */

import type {
	DataCentreId, FleetId, KeyHash, ModelId, OrganisationId, RouteId, TargetId,
} from '../../identity/ids/index.js';
import {joinSpecifications, type JoinResult} from '../../names/join-specifications/index.js';
import {resolveNames, type NamedKind, type NameResolution} from '../../names/resolve-names/index.js';
import {createProblem, type ResourceProblem} from '../../names/resource-problem/index.js';
import type {Resource, ResourceKind} from '../../resources/schemas/index.js';
import type {
	ConfigurationData, ResolvedModel, ResolvedOrganisation, ResolvedRoute, ResolvedTarget,
} from '../configuration/index.js';
import {findAmbiguities} from '../find-ambiguities/index.js';

/** Result of resolving all resources. `data` may only be used when `problems` is empty. */
export type ResourceResolution = {readonly data: ConfigurationData; readonly problems: readonly ResourceProblem[]};

type ResourceOf<Kind extends ResourceKind> = Extract<Resource, {kind: Kind}>;

/** Fields in which joined resources may differ. */
const ignoredFields = new Set(['fleet', 'fleets']);

/** Resolves `resources` and lists all problems for which they are refused. */
export function resolveResources(resources: readonly Resource[]): ResourceResolution {
	const names = resolveNames(resources);
	const organisations = resolveOrganisations(selectKind(resources, 'Organisation'), names);
	const models = resolveModels(selectKind(resources, 'Model'), names);
	const routes = resolveRoutes(selectKind(resources, 'Route'), names);
	const targets = resolveTargets(selectKind(resources, 'Target'), names);
	const data: ConfigurationData = {
		organisations: organisations.values,
		keys: selectKind(resources, 'Key').map(key => ({
			hash: key.sha256 as KeyHash, name: key.name, fleet: key.fleet as FleetId,
			organisation: names.resolve('Organisation', key.fleet, key.organisation) as OrganisationId, state: key.state,
		})),
		models: models.values,
		routes: routes.values,
		targets: targets.values,
	};
	const problems = [
		...names.problems,
		...organisations.problems,
		...models.problems,
		...routes.problems,
		...targets.problems,
		...findMissingReferences(resources, names),
		...findAmbiguities(resources, names),
	];
	return {data, problems};
}

function selectKind<Kind extends ResourceKind>(resources: readonly Resource[], kind: Kind): Array<ResourceOf<Kind>> {
	return resources.filter(resource => resource.kind === kind) as Array<ResourceOf<Kind>>;
}

function resolveOrganisations(organisations: ReadonlyArray<ResourceOf<'Organisation'>>, names: NameResolution): JoinResult<ResolvedOrganisation> {
	const specifications = organisations.map(resource => {
		// Values that the policy sets replace those of the fleets, which then need not agree.
		const policy = names.findJoinPolicy('Organisation', resource.name);
		const resolved: ResolvedOrganisation = {
			id: names.resolve('Organisation', resource.fleet, resource.name) as OrganisationId,
			fleets: [resource.fleet as FleetId],
			tokensPerSecond: policy?.tokensPerSecond ?? resource.tokensPerSecond,
			burstTokens: policy?.burstTokens ?? resource.burstTokens,
			weight: policy?.weight ?? resource.weight,
		};
		return {resource, resolved};
	});
	return joinSpecifications(specifications, ignoredFields, (joined, other) => ({...joined, fleets: [...joined.fleets ?? [], ...other.fleets ?? []]}));
}

function resolveModels(models: ReadonlyArray<ResourceOf<'Model'>>, names: NameResolution): JoinResult<ResolvedModel> {
	const specifications = models.map(resource => {
		const resolved: ResolvedModel = {
			id: names.resolve('Model', resource.fleet, resource.name) as ModelId, name: resource.name, fleets: [resource.fleet as FleetId],
			base: resource.base, adapter: resource.adapter, weightsVersion: resource.weightsVersion, deterministic: resource.deterministic,
		};
		return {resource, resolved};
	});
	return joinSpecifications(specifications, ignoredFields, (joined, other) => ({...joined, fleets: [...joined.fleets, ...other.fleets]}));
}

function resolveRoutes(routes: ReadonlyArray<ResourceOf<'Route'>>, names: NameResolution): JoinResult<ResolvedRoute> {
	const specifications = routes.map(resource => {
		const {fleet, service, model} = resource;
		const resolved: ResolvedRoute = {
			id: names.resolve('Route', fleet, resource.name) as RouteId, fleets: [fleet as FleetId],
			access: resource.access, pathPrefix: resource.pathPrefix, repeatable: resource.repeatable, timeoutMs: resource.timeoutMs,
			service: service === undefined ? undefined : names.resolve('Service', fleet, service),
			model: model === undefined ? undefined : names.resolve('Model', fleet, model) as ModelId,
		};
		return {resource, resolved};
	});
	return joinSpecifications(specifications, ignoredFields, (joined, other) => ({...joined, fleets: [...joined.fleets, ...other.fleets]}));
}

function resolveTargets(targets: ReadonlyArray<ResourceOf<'Target'>>, names: NameResolution): JoinResult<ResolvedTarget> {
	const specifications = targets.map(resource => {
		const {fleet, service} = resource;
		const resolved: ResolvedTarget = {
			id: names.resolve('Target', fleet, resource.name) as TargetId, fleet: fleet as FleetId,
			dataCentre: resource.dataCentre as DataCentreId, type: resource.type, address: resource.address,
			service: service === undefined ? undefined : names.resolve('Service', fleet, service),
			models: resource.models.map(model => names.resolve('Model', fleet, model) as ModelId),
			checksFencing: resource.checksFencing, role: resource.role, state: resource.state,
		};
		return {resource, resolved};
	});
	return joinSpecifications(specifications, ignoredFields);
}

/** Finds references to names that the fleet does not declare. A service without workers is valid; requests to it fail for lack of a target. */
function * findMissingReferences(resources: readonly Resource[], names: NameResolution): Generator<ResourceProblem> {
	for (const resource of resources) {
		for (const {field, kind, name} of listReferences(resource)) {
			const {fleet} = resource as Exclude<Resource, {kind: 'NamePolicy'}>;
			if (!names.isDeclared(kind, fleet, name)) {
				yield createProblem(resource, field, `fleet ${fleet} has no ${kind.toLowerCase()} "${name}"`);
			}
		}
	}
}

type Reference = {readonly field: string; readonly kind: NamedKind; readonly name: string};

function listReferences(resource: Resource): Reference[] {
	if (resource.kind === 'Key') {
		return [{field: 'organisation', kind: 'Organisation', name: resource.organisation}];
	}

	if (resource.kind === 'Target') {
		return resource.models.map((name, index) => ({field: `models.${index}`, kind: 'Model', name}));
	}

	return resource.kind === 'Route' && resource.model !== undefined ? [{field: 'model', kind: 'Model', name: resource.model}] : [];
}
