/**
 * The accepted configuration with resolved names, indexed for lookups on the request path.
 * A `Configuration` is immutable; each revision has its own object.
 */

import type {
	DataCentreId, FleetId, KeyHash, ModelId, OrganisationId, Revision, RouteId, TargetId,
} from '../../identity/ids/index.js';

/** An organisation after name resolution. */
export type ResolvedOrganisation = {
	readonly id: OrganisationId;
	/** Fleets that declare the organisation; more than one if their declarations are joined. */
	readonly fleets?: readonly FleetId[];
	readonly tokensPerSecond: number;
	readonly burstTokens: number;
	readonly weight: number;
};

/** A key after name resolution. */
export type ResolvedKey = {
	readonly hash: KeyHash;
	readonly name: string;
	readonly fleet: FleetId;
	readonly organisation: OrganisationId;
	readonly state: 'active' | 'withdrawn';
};

/** A model after name resolution. `fleets` lists the fleets in which `name` refers to this model. */
export type ResolvedModel = {
	readonly id: ModelId;
	readonly name: string;
	readonly fleets: readonly FleetId[];
	readonly base: string;
	readonly adapter?: string;
	readonly weightsVersion: string;
	readonly deterministic: boolean;
};

/** A route after name resolution. */
export type ResolvedRoute = {
	readonly id: RouteId;
	readonly fleets: readonly FleetId[];
	readonly access: 'open' | 'keyed';
	readonly pathPrefix?: string;
	readonly service?: string;
	readonly model?: ModelId;
	readonly repeatable: 'byMethod' | 'always' | 'never';
	readonly timeoutMs: number;
};

/** A target after name resolution. `service` is the resolved service id. */
export type ResolvedTarget = {
	readonly id: TargetId;
	readonly fleet: FleetId;
	readonly dataCentre: DataCentreId;
	readonly type: 'engine' | 'service';
	readonly address: string;
	readonly service?: string;
	readonly models: readonly ModelId[];
	readonly checksFencing: boolean;
	readonly role: 'mixed' | 'prefill' | 'decode';
	readonly state: 'live' | 'leaving';
};

/** All resolved resources of one revision, in the form that is stored and relayed. */
export type ConfigurationData = {
	readonly organisations: readonly ResolvedOrganisation[];
	readonly keys: readonly ResolvedKey[];
	readonly models: readonly ResolvedModel[];
	readonly routes: readonly ResolvedRoute[];
	readonly targets: readonly ResolvedTarget[];
};

/** One accepted revision with its indexes. */
export class Configuration {
	private readonly organisationsById: ReadonlyMap<OrganisationId, ResolvedOrganisation>;
	private readonly keysByHash: ReadonlyMap<KeyHash, ResolvedKey>;
	private readonly modelsById: ReadonlyMap<ModelId, ResolvedModel>;
	private readonly modelsByFleetName: ReadonlyMap<string, ResolvedModel>;
	private readonly serviceRoutes: readonly ResolvedRoute[];

	constructor(readonly revision: Revision, readonly data: ConfigurationData) {
		this.organisationsById = new Map(data.organisations.map(organisation => [organisation.id, organisation]));
		this.keysByHash = new Map(data.keys.map(key => [key.hash, key]));
		this.modelsById = new Map(data.models.map(model => [model.id, model]));
		this.modelsByFleetName = indexModels(data.models);
		// Sorted by descending length, because the longest matching prefix wins.
		this.serviceRoutes = data.routes
			.filter(route => route.pathPrefix !== undefined)
			.toSorted((a, b) => (b.pathPrefix?.length ?? 0) - (a.pathPrefix?.length ?? 0));
	}

	/** Finds a key by the hash of its secret. */
	findKey(hash: KeyHash): ResolvedKey | undefined {
		return this.keysByHash.get(hash);
	}

	findOrganisation(id: OrganisationId): ResolvedOrganisation | undefined {
		return this.organisationsById.get(id);
	}

	/** Finds a model by its name within `fleet`, by `fleet/name` or by its id. */
	findModel(name: string, fleet: FleetId): ResolvedModel | undefined {
		return this.modelsByFleetName.get(`${fleet}/${name}`) ?? this.modelsByFleetName.get(name) ?? this.modelsById.get(name as ModelId);
	}

	/** Lists the models that callers of `fleet` can request by name. */
	listModels(fleet: FleetId): readonly ResolvedModel[] {
		return this.data.models.filter(model => model.fleets.includes(fleet));
	}

	/**
	 * Finds the service route with the longest prefix of `path`, first among the routes of the key's fleet, then among
	 * open routes. Without a fleet, falls back to a keyed route, so that the caller learns that a key is missing.
	 */
	findServiceRoute(path: string, fleet?: FleetId): ResolvedRoute | undefined {
		const matching = this.serviceRoutes.filter(route => matchesPrefix(path, route.pathPrefix ?? ''));
		const ownRoute = fleet === undefined ? undefined : matching.find(route => route.fleets.includes(fleet));
		return ownRoute ?? matching.find(route => route.access === 'open') ?? (fleet === undefined ? matching[0] : undefined);
	}

	/** Finds the route that allows callers without a key to use `model`. */
	findOpenModelRoute(model: ModelId): ResolvedRoute | undefined {
		return this.data.routes.find(route => route.model === model && route.access === 'open');
	}

	/** Lists the engines declared to serve `model`. */
	listEngines(model: ModelId): readonly ResolvedTarget[] {
		return this.data.targets.filter(target => target.type === 'engine' && target.models.includes(model));
	}

	/** Lists the targets declared to serve a service. */
	listServiceTargets(service: string): readonly ResolvedTarget[] {
		return this.data.targets.filter(target => target.type === 'service' && target.service === service);
	}
}

function indexModels(models: readonly ResolvedModel[]): ReadonlyMap<string, ResolvedModel> {
	const byFleetName = new Map<string, ResolvedModel>();
	for (const model of models) {
		for (const fleet of model.fleets) {
			byFleetName.set(`${fleet}/${model.name}`, model);
		}
	}

	return byFleetName;
}

function matchesPrefix(path: string, prefix: string): boolean {
	const trimmed = prefix.endsWith('/') ? prefix.slice(0, -1) : prefix;
	return path === trimmed || path.startsWith(`${trimmed}/`);
}
