/** Interface between the gateway and a platform. */

import type {InstanceId, DataCentreId} from '../../identity/ids/index.js';
import type {ObjectApi, StoredObject} from '../../store/object-api/index.js';
import type {TargetProtocol} from '../../forwarding/call-types/index.js';
import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import type {EngineCommander} from '../../rollout/engine-commander/index.js';
import type {RoutingConfiguration} from '../../routing/routing-types/index.js';
import type {JsonResponse} from '../../http/start-json-server/index.js';
import type {CallerProtocol} from '../caller-protocol/index.js';

/** Version of a model's weights that calls are to use from now on. */
export type WeightsNotice = {readonly model: string; readonly version: number};

/** Names of the platform's collections. */
export type PlatformCollections = {
	readonly configuration: string;
	readonly targets: string;
	readonly weights: string;
	/** The router's own collection, with one object for each instance. */
	readonly instances: string;
	/** The router's own collection, with one object for each quarantined prompt part. */
	readonly quarantines: string;
	/** The router's own collection, with the software versions that may have begun streams, and records of streams. */
	readonly streams: string;
};

/** A caller's request for addresses of instances. */
export type AddressQuery = {readonly dataCentre: DataCentreId | undefined};

/** Converts between the platform's formats and protocols and the types of the gateway. */
export type PlatformAdapter = {
	readonly objectApi: ObjectApi;
	readonly collections: PlatformCollections;
	readonly callerProtocol: CallerProtocol;
	readonly targetProtocol: TargetProtocol;
	/** Path of the readiness check. */
	readonly readinessPath: string;
	/** Decodes an object of the configuration collection; throws if it is invalid. */
	decodeConfiguration(object: StoredObject): RoutingConfiguration;
	/** Decodes a target's entry; undefined if it is invalid, so that it names no usable target. */
	decodeTarget(object: StoredObject): TargetDescription | undefined;
	/** Decodes named weights; undefined if they are invalid. */
	decodeWeights(object: StoredObject): WeightsNotice | undefined;
	createCommander(instance: InstanceId): EngineCommander;
	/** Parses a request for addresses; undefined if the URL is not one. */
	parseAddressQuery(url: URL): AddressQuery | undefined;
	/** Builds the answer to a request for addresses, which callers may cache for `validSeconds`. */
	buildAddressAnswer(addresses: readonly string[], validSeconds: number): JsonResponse;
};
