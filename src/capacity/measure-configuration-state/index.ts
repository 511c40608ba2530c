/** Memory of the applied configuration, per resource of each kind. */

import {
	Configuration, type ConfigurationData, type ResolvedKey, type ResolvedOrganisation, type ResolvedRoute, type ResolvedTarget,
} from '../../configuration/configuration/index.js';
import type {
	DataCentreId, FleetId, ModelId, OrganisationId, Revision, RouteId, TargetId,
} from '../../identity/ids/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import {createMeasurement, type Measurement} from '../measurement/index.js';
import {measureHeap} from '../measure-heap/index.js';

const resourceCounts = [100, 650, 1300, 2600];
const targetCounts = [14, 1500, 6000, 12_000];
const fleet = 'north' as FleetId;

const emptyData: ConfigurationData = {
	organisations: [], keys: [], models: [], routes: [], targets: [],
};

/** Measures bytes per organisation, key, route and target. */
export async function measureConfigurationState(): Promise<Measurement[]> {
	return [
		await measureKind('organisation', resourceCounts, count => ({organisations: createMany(count, createOrganisation)})),
		await measureKind('key', resourceCounts, count => ({keys: createMany(count, createKey)})),
		await measureKind('route', resourceCounts, count => ({routes: createMany(count, createRoute)})),
		await measureKind('target', targetCounts, count => ({targets: createMany(count, createTarget)})),
	];
}

async function measureKind(kind: string, sizes: readonly number[], createData: (count: number) => Partial<ConfigurationData>): Promise<Measurement> {
	const points = [];
	for (const size of sizes) {
		const value = await measureHeap(() => parseConfiguration(createData(size)));
		points.push({size, value});
	}

	return createMeasurement(`configuration-${kind}`, `configuration in force, per ${kind}`, `bytes per ${kind}`, points);
}

/** Creates the configuration through JSON, as a fetched one is, so that no strings are shared. */
function parseConfiguration(data: Partial<ConfigurationData>): Configuration {
	const text = JSON.stringify({...emptyData, ...data});
	return new Configuration(1 as Revision, JSON.parse(text) as ConfigurationData);
}

function createMany<Item>(count: number, create: (index: number) => Item): Item[] {
	return Array.from({length: count}, (_, index) => create(index));
}

function createOrganisation(index: number): ResolvedOrganisation {
	return {
		id: `organisation-${index}` as OrganisationId, tokensPerSecond: 1000 + index, burstTokens: 10_000, weight: 1,
	};
}

function createKey(index: number): ResolvedKey {
	return {
		hash: hashKey(`secret-${index}`), name: `key-${index}`, fleet, organisation: `organisation-${index}` as OrganisationId, state: 'active',
	};
}

function createRoute(index: number): ResolvedRoute {
	return {
		id: `route-${index}` as RouteId, fleets: [fleet], access: 'keyed', pathPrefix: `/service-${index}`,
		service: `service-${index}`, repeatable: 'byMethod', timeoutMs: 30_000,
	};
}

function createTarget(index: number): ResolvedTarget {
	return {
		id: `worker-${index}` as TargetId, fleet, dataCentre: `centre-${index % 15}` as DataCentreId, type: 'engine',
		address: `10.0.${Math.floor(index / 250)}.${index % 250}:8000`, models: ['assistant' as ModelId], checksFencing: false,
		role: 'mixed', state: 'live',
	};
}
