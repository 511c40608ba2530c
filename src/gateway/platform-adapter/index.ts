/** Interface between the gateway and a platform. */

import type {InstanceId, DataCentreId} from '../../identity/ids/index.js';
import type {ObjectApi, StatusWriter, StoredObject} from '../../store/object-api/index.js';
import type {TargetProtocol} from '../../forwarding/call-types/index.js';
import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import type {EngineCommander} from '../../rollout/engine-commander/index.js';
import type {RolloutObject, RolloutStatus} from '../../software-rollout/rollout-types/index.js';
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
	/** Orders to move a service to another software version, with what the gateway states about each. */
	readonly rollouts: string;
};

/** A caller's request for addresses of instances. */
export type AddressQuery = {readonly dataCentre: DataCentreId | undefined};

/** Converts between the platform's formats and protocols and the types of the gateway. */
export type PlatformAdapter = {
	readonly objectApi: ObjectApi & StatusWriter;
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
	/** Decodes an order of a software version and its status; undefined if the order is invalid. */
	decodeRollout(object: StoredObject): RolloutObject | undefined;
	/** Encodes the status of an order as the platform stores it. */
	encodeRolloutStatus(status: RolloutStatus): unknown;
	createCommander(instance: InstanceId): EngineCommander;
	/** Parses a request for addresses; undefined if the URL is not one. */
	parseAddressQuery(url: URL): AddressQuery | undefined;
	/** Builds the answer to a request for addresses, which callers may cache for `validSeconds`. */
	buildAddressAnswer(addresses: readonly string[], validSeconds: number): JsonResponse;
};
